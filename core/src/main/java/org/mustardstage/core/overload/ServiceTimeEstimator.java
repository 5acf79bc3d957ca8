package org.mustardstage.core.overload;

/**
 * Estimates how long an endpoint takes to respond, as the sum of exponential moving averages of the
 * latency and of its absolute deviation. The estimate decays while no response arrives, so that a
 * service that seemed too slow for any deadline gets requests again.
 */
public final class ServiceTimeEstimator {
  private static final double MEAN_SMOOTHING_FACTOR = 1.0 / 16;
  private static final double DEVIATION_SMOOTHING_FACTOR = 1.0 / 8;
  private static final double STALE_HALF_LIFE_NANOS = 1e9;
  private static final long STALE_AFTER_NANOS = 500_000_000;

  private boolean hasSample;
  private double meanNanos;
  private double deviationNanos;
  private long lastSampleNanos;

  /** Adds the latency of a response to the averages. */
  public void recordLatency(long nowNanos, long latencyNanos) {
    lastSampleNanos = nowNanos;
    if (!hasSample) {
      hasSample = true;
      meanNanos = latencyNanos;
      return;
    }
    double difference = latencyNanos - meanNanos;
    meanNanos += MEAN_SMOOTHING_FACTOR * difference;
    deviationNanos += DEVIATION_SMOOTHING_FACTOR * (Math.abs(difference) - deviationNanos);
  }

  /** Returns the time within which most responses arrive, 0 before the first response. */
  public long estimateNanos(long nowNanos) {
    long staleNanos = Math.max(0, nowNanos - lastSampleNanos - STALE_AFTER_NANOS);
    double decay =
        staleNanos == 0 ? 1 : Math.exp(-Math.log(2) * staleNanos / STALE_HALF_LIFE_NANOS);
    return (long) ((meanNanos + deviationNanos) * decay);
  }
}
