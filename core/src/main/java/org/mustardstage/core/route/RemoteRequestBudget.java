package org.mustardstage.core.route;

import com.google.common.base.Preconditions;

/**
 * Keeps the requests that an entry VM sends to other regions while its own one has endpoints to a
 * rate. A request in another region holds its permit for the whole way there and back, so that
 * regions which help each other without bound lose most of their capacity.
 */
final class RemoteRequestBudget {
  private static final double MAX_TOKENS = 2;

  private final double maxRemoteShare;
  private int entryVms = 1;
  private double tokens = MAX_TOKENS;
  private long updatedNanos;

  /** Creates a budget of {@code maxRemoteShare} of all slots, for all entry VMs together. */
  RemoteRequestBudget(double maxRemoteShare) {
    this.maxRemoteShare = maxRemoteShare;
  }

  /** Takes over among how many entry VMs the budget is divided. */
  void setEntryVmCount(int count) {
    Preconditions.checkArgument(count > 0, "entry VMs must be positive");
    entryVms = count;
  }

  /** Returns whether a request may go to another region, given how long it holds a permit. */
  boolean hasToken(long nowNanos, double slots, double heldNanos) {
    double perNano = maxRemoteShare * slots / entryVms / Math.max(1, heldNanos);
    long elapsedNanos = Math.max(0, nowNanos - updatedNanos);
    tokens = Math.min(MAX_TOKENS, tokens + elapsedNanos * perNano);
    updatedNanos = nowNanos;
    return tokens >= 1;
  }

  /** Takes the budget of one request. */
  void takeToken() {
    tokens--;
  }
}
