package org.mustardstage.core.placement;

/**
 * Limits the request rate to an endpoint that has just started, so that it isn't overloaded while
 * it is cold. A token bucket with a small burst, as the declared rate must not be exceeded in any
 * second.
 */
final class ColdStartRateLimiter {
  /**
   * Less than half of the declared rate, as two schedulers may both consider themselves responsible
   * for a cold endpoint.
   */
  private static final double RATE_SHARE = 0.45;

  private static final double BURST_REQUESTS = 1;

  private final TokenBucket bucket;

  ColdStartRateLimiter(long nowNanos, double declaredRequestsPerSecond) {
    this.bucket =
        new TokenBucket(
            nowNanos, RATE_SHARE * declaredRequestsPerSecond, BURST_REQUESTS, BURST_REQUESTS);
  }

  /** Returns whether a request may be sent now. */
  boolean hasToken(long nowNanos) {
    return bucket.hasToken(nowNanos);
  }

  /** Takes a token for a request that is sent. */
  void takeToken(long nowNanos) {
    bucket.takeToken(nowNanos);
  }
}
