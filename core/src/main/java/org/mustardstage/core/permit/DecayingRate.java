package org.mustardstage.core.permit;

/** Estimates an event rate from an exponentially decaying event count. */
final class DecayingRate {
  // One second, so that the decaying count is itself the rate per second.
  private static final double TIME_CONSTANT_NANOS = 1e9;

  private double lastCount;
  private long lastNanos;

  /** Records one event. */
  void increment(long nowNanos) {
    lastCount = decayedCount(nowNanos) + 1;
    lastNanos = nowNanos;
  }

  /** Returns the estimated number of events per second. */
  double perSecond(long nowNanos) {
    return decayedCount(nowNanos);
  }

  private double decayedCount(long nowNanos) {
    return lastCount * Math.exp(-Math.max(0, nowNanos - lastNanos) / TIME_CONSTANT_NANOS);
  }
}
