package org.mustardstage.entry.traffic;

import org.mustardstage.core.outcome.IdempotencyKeyStoreLimits;
import org.mustardstage.core.outcome.RetryPolicy;

/**
 * Limits and timeouts of the request path.
 *
 * @param maxHeadBytes the maximum size of a request head (request line and headers)
 * @param bodyProgressTimeoutMillis how long a caller may make no progress on a request or response
 *     body
 * @param keepAliveTimeoutMillis how long a caller connection may be idle
 * @param maxBufferedBodyBytes the largest body that is buffered whole, so that a retry can send it
 *     again
 * @param endpointIdleTimeoutMillis how long after its last read a connection to an endpoint may be
 *     reused
 * @param connectTimeoutMillis how long opening a connection to an endpoint may take
 * @param controlRequestTimeoutMillis how long an endpoint may take to respond to a cancel or probe
 * @param silenceTimeoutMillis how long a response may be outstanding before connections are probed
 * @param probeIntervalMillis how often an idle connection to an endpoint in use is probed
 * @param deadlineMarginMillis by how much the deadline sent to the endpoint is shortened
 * @param vmsSharingEndpoint the number of entry VMs that share the connections of an endpoint
 * @param retryPolicy decides when a request is retried
 * @param keyStore the limits of the store of idempotency keys
 * @param keyEpochMillis how long the issued key prefix stays the same
 */
public record TrafficLimits(
    int maxHeadBytes,
    long bodyProgressTimeoutMillis,
    long keepAliveTimeoutMillis,
    int maxBufferedBodyBytes,
    long endpointIdleTimeoutMillis,
    long connectTimeoutMillis,
    long controlRequestTimeoutMillis,
    long silenceTimeoutMillis,
    long probeIntervalMillis,
    long deadlineMarginMillis,
    int vmsSharingEndpoint,
    RetryPolicy retryPolicy,
    IdempotencyKeyStoreLimits keyStore,
    long keyEpochMillis) {
  /** Returns default limits, which fit the sizes of the deployments. */
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
