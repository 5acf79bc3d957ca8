package org.mustardstage.core.overload;

/**
 * Estimates the rate at which requests leave a queue to run, over the time in which the queue is
 * not empty. Departures and that time lose weight exponentially with age. The estimate is infinite
 * while the queue has hardly been non-empty lately, so that the first requests are accepted.
 */
public final class DepartureRateEstimator {
  private static final double DECAY_TIME_NANOS = 500e6;
  private static final double MIN_BUSY_NANOS = 1e6;
  private static final double NANOS_PER_SECOND = 1e9;

  private long updatedNanos;
  private boolean initialized;
  private double departures;
  private double busyNanos;

  /**
   * Advances the estimate to {@code nowNanos}.
   *
   * @param busy whether requests have waited since the last call
   */
  public void advance(long nowNanos, boolean busy) {
    if (!initialized) {
      initialized = true;
      updatedNanos = nowNanos;
      return;
    }
    double elapsedNanos = nowNanos - updatedNanos;
    if (elapsedNanos <= 0) {
      return;
    }
    double decay = Math.exp(-elapsedNanos / DECAY_TIME_NANOS);
    departures *= decay;
    busyNanos = busyNanos * decay + (busy ? DECAY_TIME_NANOS * (1 - decay) : 0);
    updatedNanos = nowNanos;
  }

  /** Counts a request that left the queue to run. */
  public void recordDeparture() {
    departures++;
  }

  /** Returns the rate; one departure is added to those counted, so that it is never zero. */
  public double perSecond() {
    if (busyNanos < MIN_BUSY_NANOS) {
      return Double.POSITIVE_INFINITY;
    }
    return (departures + 1) * NANOS_PER_SECOND / busyNanos;
  }
}
