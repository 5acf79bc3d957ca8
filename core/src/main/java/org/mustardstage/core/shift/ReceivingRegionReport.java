package org.mustardstage.core.shift;

import com.google.common.base.Preconditions;

/**
 * How the receiving place of a move does.
 *
 * @param ageNanos how old the report is
 * @param requests the requests it is based on
 * @param slowdown its latency as a multiple of the latency before the move
 * @param errorShare the share of its requests that failed
 * @param usedShare the share of its slots in use
 * @param warmth the mean warmth of its caches, from 0 to 1
 */
public record ReceivingRegionReport(
    long ageNanos,
    long requests,
    double slowdown,
    double errorRate,
    double utilization,
    double warmth) {
  /** Checks that shares are in range. */
  public ReceivingRegionReport {
    Preconditions.checkArgument(slowdown >= 0, "slowdown must not be negative");
    Preconditions.checkArgument(errorRate >= 0 && errorRate <= 1, "error share out of range");
    Preconditions.checkArgument(utilization >= 0 && utilization <= 1, "used share out of range");
    Preconditions.checkArgument(warmth >= 0 && warmth <= 1, "warmth out of range");
  }
}
