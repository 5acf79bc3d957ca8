package org.mustardstage.core.permit;

/** Measures a rate with exponential decay. */
final class DecayingRate {
  private static final double TIME_CONSTANT_NANOS = 1e9;

  private double lastCount;
  private long lastNanos;

  /** Counts one event. */
  void record(long nowNanos) {
    lastCount = decayedCount(nowNanos) + 1;
    lastNanos = nowNanos;
  }

  /** Returns the number of events a second. */
  double perSecond(long nowNanos) {
    return decayedCount(nowNanos);
  }

  private double decayedCount(long nowNanos) {
    return lastCount * Math.exp(-Math.max(0, nowNanos - lastNanos) / TIME_CONSTANT_NANOS);
  }
}
