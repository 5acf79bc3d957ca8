package org.mustardstage.core.route;

import com.google.common.base.Preconditions;

/**
 * Token bucket for the requests that an entry VM sends to other regions while its own region has
 * endpoints. A request to another region holds its permit for the whole round trip, so regions that
 * spill over to each other without a limit lose most of their capacity.
 */
final class RemoteRequestBudget {
  private static final double MAX_TOKENS = 2;

  private final double maxRemoteShare;
  private int entryVms = 1;
  private double tokens = MAX_TOKENS;
  private long updatedNanos;

  /** Creates a budget of {@code maxRemoteShare} of all slots, shared by all entry VMs. */
  RemoteRequestBudget(double maxRemoteShare) {
    this.maxRemoteShare = maxRemoteShare;
  }

  /** Sets the number of entry VMs that divide the budget equally. */
  void setEntryVmCount(int count) {
    Preconditions.checkArgument(count > 0, "number of entry VMs must be positive");
    entryVms = count;
  }

  /**
   * Refills the bucket and returns whether a request may be sent to another region.
   *
   * @param slots the slots of all endpoints of the service
   * @param permitHoldNanos how long a request to another region holds its permit
   */
  boolean hasToken(long nowNanos, double slots, double permitHoldNanos) {
    double tokensPerNano = maxRemoteShare * slots / entryVms / Math.max(1, permitHoldNanos);
    long elapsedNanos = Math.max(0, nowNanos - updatedNanos);
    tokens = Math.min(MAX_TOKENS, tokens + elapsedNanos * tokensPerNano);
    updatedNanos = nowNanos;
    return tokens >= 1;
  }

  /** Takes the token of a request that is sent to another region. */
  void takeToken() {
    tokens--;
  }
}
