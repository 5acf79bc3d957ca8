package org.mustardstage.core.overload;

/**
 * Estimates how many requests a second leave a queue to run while some wait. Old departures lose
 * weight; with none remembered the rate is infinite, so that the first requests are let in.
 */
final class DepartureRateEstimator {
  private static final double DECAY_TIME_NANOS = 500e6;
  private static final double MIN_BUSY_NANOS = 1e6;
  private static final double NANOS_PER_SECOND = 1e9;

  private long updatedNanos;
  private boolean initialized;
  private double departures;
  private double busyNanos;

  /** Brings the estimate to {@code nowNanos}; {@code busy} says whether requests waited so far. */
  void advance(long nowNanos, boolean busy) {
    if (!initialized) {
      initialized = true;
      updatedNanos = nowNanos;
      return;
    }
    double elapsedNanos = nowNanos - updatedNanos;
    if (elapsedNanos <= 0) {
      return;
    }
    double kept = Math.exp(-elapsedNanos / DECAY_TIME_NANOS);
    departures *= kept;
    busyNanos = busyNanos * kept + (busy ? DECAY_TIME_NANOS * (1 - kept) : 0);
    updatedNanos = nowNanos;
  }

  /** Counts a request that left the queue to run. */
  void recordDeparture() {
    departures++;
  }

  /** Returns the rate, counting one departure more than seen so that it is never zero. */
  double perSecond() {
    if (busyNanos < MIN_BUSY_NANOS) {
      return Double.POSITIVE_INFINITY;
    }
    return (departures + 1) * NANOS_PER_SECOND / busyNanos;
  }
}
