package org.mustardstage.core.overload;

/**
 * Estimates how long an endpoint takes to answer: the mean of recent answers and their deviation.
 * The estimate shrinks while no answer arrives, so that a service that looked too slow for any
 * deadline is tried again.
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

  /** Takes in the latency of an answered request. */
  public void recordLatency(long nowNanos, long latencyNanos) {
    lastSampleNanos = nowNanos;
    if (!hasSample) {
      hasSample = true;
      meanNanos = latencyNanos;
      return;
    }
    double error = latencyNanos - meanNanos;
    meanNanos += MEAN_SMOOTHING_FACTOR * error;
    deviationNanos += DEVIATION_SMOOTHING_FACTOR * (Math.abs(error) - deviationNanos);
  }

  /** Returns the time that most answers need, 0 before the first answer. */
  public long estimateNanos(long nowNanos) {
    long staleNanos = Math.max(0, nowNanos - lastSampleNanos - STALE_AFTER_NANOS);
    double kept = staleNanos == 0 ? 1 : Math.exp(-Math.log(2) * staleNanos / STALE_HALF_LIFE_NANOS);
    return (long) ((meanNanos + deviationNanos) * kept);
  }
}
