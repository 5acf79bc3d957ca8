package org.mustardstage.core.overload;

import com.google.common.base.Preconditions;

/**
 * The settings of the retry delays that rejected callers are given.
 *
 * @param minMillis the smallest delay
 * @param maxMillis the largest delay
 * @param retryShare the share of the departure rate of the queue at which retries are scheduled
 */
public record RetryAfterSettings(long minMillis, long maxMillis, double retryShare) {
  /** The default settings. */
  public static final RetryAfterSettings DEFAULT = new RetryAfterSettings(100, 10_000, 0.25);

  /** Checks that the delays are in order and the share is in range. */
  public RetryAfterSettings {
    Preconditions.checkArgument(minMillis > 0, "minMillis must be positive");
    Preconditions.checkArgument(maxMillis > minMillis, "maxMillis must be greater than minMillis");
    Preconditions.checkArgument(
        retryShare > 0 && retryShare <= 1, "retryShare must be greater than 0 and at most 1");
  }
}
