package org.mustardstage.core.shift;

import com.google.common.base.Preconditions;

/**
 * The state of the receiving region of a planned move.
 *
 * @param ageNanos the age of the report
 * @param requests the number of requests that it is based on
 * @param slowdown the latency as a multiple of the latency before the move
 * @param errorRate the fraction of requests that failed
 * @param utilization the fraction of slots in use
 * @param warmth the mean warmth of the caches, from 0 to 1
 */
public record ReceivingRegionReport(
    long ageNanos,
    long requests,
    double slowdown,
    double errorRate,
    double utilization,
    double warmth) {
  /** Checks that the values are in range. */
  public ReceivingRegionReport {
    Preconditions.checkArgument(slowdown >= 0, "slowdown must not be negative, found %s", slowdown);
    Preconditions.checkArgument(
        errorRate >= 0 && errorRate <= 1, "errorRate must be from 0 to 1, found %s", errorRate);
    Preconditions.checkArgument(
        utilization >= 0 && utilization <= 1,
        "utilization must be from 0 to 1, found %s",
        utilization);
    Preconditions.checkArgument(
        warmth >= 0 && warmth <= 1, "warmth must be from 0 to 1, found %s", warmth);
  }
}
