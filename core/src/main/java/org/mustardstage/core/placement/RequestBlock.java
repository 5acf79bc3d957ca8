package org.mustardstage.core.placement;

import com.google.common.base.Preconditions;

/**
 * A request that no VM sends to an endpoint, as it has ended several endpoints.
 *
 * @param fingerprint identifies the request
 * @param timesBlocked how often the request has been blocked, this time included
 * @param remainingMillis how much longer it is blocked
 */
public record RequestBlock(RequestFingerprint fingerprint, int timesBlocked, long remainingMillis) {
  /** Checks the ranges. */
  public RequestBlock {
    Preconditions.checkArgument(
        timesBlocked > 0, "timesBlocked must be positive: %s", timesBlocked);
    Preconditions.checkArgument(
        remainingMillis >= 0, "remainingMillis must not be negative: %s", remainingMillis);
  }
}
