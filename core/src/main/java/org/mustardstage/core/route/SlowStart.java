package org.mustardstage.core.route;

import com.google.common.base.Preconditions;

/**
 * Slow start: limits the share of its usual traffic that a new or cold endpoint gets. The share
 * grows linearly during the ramp and is limited to the warmth that the endpoint reports, but is
 * never less than a minimum.
 */
public final class SlowStart {
  private final long rampNanos;
  private final double minShare;
  private long startNanos;
  private double warmth = 1;

  /**
   * Creates a ramp that begins at {@code startNanos}.
   *
   * @param rampNanos the time in which the share grows to 1
   * @param minShare the share at the start, and the smallest share of a cold endpoint
   */
  public SlowStart(long startNanos, long rampNanos, double minShare) {
    Preconditions.checkArgument(rampNanos > 0, "rampNanos must be positive");
    Preconditions.checkArgument(
        minShare > 0 && minShare <= 1, "minShare must be greater than 0 and at most 1");
    this.startNanos = startNanos;
    this.rampNanos = rampNanos;
    this.minShare = minShare;
  }

  /** Restarts the ramp, when the endpoint returns after an absence. */
  public void restart(long nowNanos) {
    startNanos = nowNanos;
  }

  /** Replaces the warmth that the endpoint reports, limited to the range from 0 to 1. */
  public void recordWarmth(double reportedWarmth) {
    warmth = Math.clamp(reportedWarmth, 0, 1);
  }

  /** Returns the share of its usual traffic that the endpoint gets now. */
  public double share(long nowNanos) {
    double ramped = (double) (nowNanos - startNanos) / rampNanos;
    return Math.clamp(Math.min(ramped, warmth), minShare, 1);
  }
}
