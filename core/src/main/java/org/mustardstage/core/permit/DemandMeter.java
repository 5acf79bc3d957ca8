package org.mustardstage.core.permit;

/** Measures a rate with exponential decay. */
final class DemandMeter {
  private static final double TIME_CONSTANT_NANOS = 1e9;

  private double weight;
  private long lastNanos;

  /** Counts one event. */
  void count(long nowNanos) {
    weight = decayed(nowNanos) + 1;
    lastNanos = nowNanos;
  }

  /** Returns the number of events a second. */
  double perSecond(long nowNanos) {
    return decayed(nowNanos);
  }

  private double decayed(long nowNanos) {
    return weight * Math.exp(-Math.max(0, nowNanos - lastNanos) / TIME_CONSTANT_NANOS);
  }
}
