package org.mustardstage.core.overload;

import com.google.common.base.Preconditions;

/**
 * How refused callers are asked to come back.
 *
 * @param minMillis the earliest time to come back
 * @param maxMillis the latest time to come back
 * @param returnShare the share of the departures of the queue that returning callers may take
 */
public record RetryAfterSettings(long minMillis, long maxMillis, double retryShare) {
  /** The settings used where nothing else is said. */
  public static final RetryAfterSettings DEFAULT = new RetryAfterSettings(100, 10_000, 0.25);

  /** Checks that the times are in order and the share is in range. */
  public RetryAfterSettings {
    Preconditions.checkArgument(minMillis > 0, "earliest time must be positive");
    Preconditions.checkArgument(maxMillis > minMillis, "latest time must follow the earliest");
    Preconditions.checkArgument(retryShare > 0 && retryShare <= 1, "share out of range");
  }
}
