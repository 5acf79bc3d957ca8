package org.mustardstage.entry.traffic;

import org.mustardstage.core.outcome.IdempotencyKeyStoreLimits;
import org.mustardstage.core.outcome.RetryPolicy;

/**
 * Bounds of the request path.
 *
 * @param maxHeadBytes the largest head of a request
 * @param bodyProgressTimeoutMillis how long a caller may send or take nothing of a body
 * @param keepAliveMillis how long an idle connection of a caller stays open
 * @param heldBodyBytes the largest body that is held whole, so that it can be sent again
 * @param reuseWithinMillis how long after its last answer a connection to an endpoint is reused
 * @param connectTimeoutMillis how long a connection to an endpoint may take
 * @param cancelTimeoutMillis how long an endpoint may take to answer a cancel or a probe
 * @param silentAfterMillis how long an answer may stay out before connections are probed
 * @param witnessRefreshMillis how often an idle connection to an endpoint in use is proven
 * @param deadlineMarginMillis by how much the deadline at the endpoint is shortened
 * @param connectionShare the number of entry VMs that share the connections of an endpoint
 * @param retryRule when a request is tried again
 * @param keyMemory the bounds of the memory of idempotency keys
 * @param keyEpochMillis how long key prefixes stay the same
 */
public record TrafficLimits(
    int maxHeadBytes,
    long bodyProgressTimeoutMillis,
    long keepAliveMillis,
    int heldBodyBytes,
    long reuseWithinMillis,
    long connectTimeoutMillis,
    long cancelTimeoutMillis,
    long silentAfterMillis,
    long witnessRefreshMillis,
    long deadlineMarginMillis,
    int connectionShare,
    RetryPolicy retryRule,
    IdempotencyKeyStoreLimits keyMemory,
    long keyEpochMillis) {
  /** Returns the bounds that fit the sizes of the deployments. */
  public static TrafficLimits defaults() {
    return new TrafficLimits(
        32 << 10,
        10_000,
        60_000,
        64 << 10,
        1_000,
        1_000,
        300,
        500,
        10_000,
        2,
        23,
        new RetryPolicy(3, 100),
        new IdempotencyKeyStoreLimits(65_536, 32L << 20, 8 << 10, 600),
        1_000);
  }
}
