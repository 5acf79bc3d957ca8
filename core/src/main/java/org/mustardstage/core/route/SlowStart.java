package org.mustardstage.core.route;

import com.google.common.base.Preconditions;

/**
 * The share of its usual traffic that a new endpoint or a cold place gets: it grows evenly over the
 * ramp, and no further than the warmth that the endpoint reports.
 */
public final class SlowStart {
  private final long rampNanos;
  private final double minShare;
  private long startNanos;
  private double warmth = 1;

  /**
   * Creates a ramp that begins at {@code startNanos}.
   *
   * @param rampNanos the time in which the share grows to the whole
   * @param minShare the share at the beginning, and the least that a cold endpoint gets
   */
  public SlowStart(long startNanos, long rampNanos, double minShare) {
    Preconditions.checkArgument(rampNanos > 0, "ramp must be positive");
    Preconditions.checkArgument(minShare > 0 && minShare <= 1, "least share out of range");
    this.startNanos = startNanos;
    this.rampNanos = rampNanos;
    this.minShare = minShare;
  }

  /** Begins the ramp again, after the endpoint was away. */
  public void restart(long nowNanos) {
    startNanos = nowNanos;
  }

  /** Takes in the warmth that the endpoint reports, from 0 to 1. */
  public void recordWarmth(double reportedWarmth) {
    warmth = Math.clamp(reportedWarmth, 0, 1);
  }

  /** Returns the share of its usual traffic that the endpoint gets now. */
  public double share(long nowNanos) {
    double ramped = (double) (nowNanos - startNanos) / rampNanos;
    return Math.clamp(Math.min(ramped, warmth), minShare, 1);
  }
}
