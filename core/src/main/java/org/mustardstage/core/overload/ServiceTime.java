package org.mustardstage.core.overload;

/**
 * Estimates how long an endpoint takes to answer: the mean of recent answers and their deviation.
 * The estimate shrinks while no answer arrives, so that a service that looked too slow for any
 * deadline is tried again.
 */
public final class ServiceTime {
  private static final double MEAN_WEIGHT = 1.0 / 16;
  private static final double DEVIATION_WEIGHT = 1.0 / 8;
  private static final double AGE_HALF_LIFE_NANOS = 1e9;
  private static final long FRESH_NANOS = 500_000_000;

  private boolean known;
  private double meanNanos;
  private double deviationNanos;
  private long observedNanos;

  /** Takes in the latency of an answered request. */
  public void observe(long nowNanos, long latencyNanos) {
    observedNanos = nowNanos;
    if (!known) {
      known = true;
      meanNanos = latencyNanos;
      return;
    }
    double error = latencyNanos - meanNanos;
    meanNanos += MEAN_WEIGHT * error;
    deviationNanos += DEVIATION_WEIGHT * (Math.abs(error) - deviationNanos);
  }

  /** Returns the time that most answers need, 0 before the first answer. */
  public long typicalNanos(long nowNanos) {
    long staleNanos = Math.max(0, nowNanos - observedNanos - FRESH_NANOS);
    double kept = staleNanos == 0 ? 1 : Math.exp(-Math.log(2) * staleNanos / AGE_HALF_LIFE_NANOS);
    return (long) ((meanNanos + deviationNanos) * kept);
  }
}
