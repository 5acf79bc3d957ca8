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
  private static final double NANOS_PER_SECOND = 1e9;

  private final double tokensPerSecond;
  private double tokens = 1;
  private long refilledNanos;

  ColdStartRateLimiter(long nowNanos, double declaredRequestsPerSecond) {
    this.tokensPerSecond = RATE_SHARE * declaredRequestsPerSecond;
    this.refilledNanos = nowNanos;
  }

  /** Returns whether a request may be sent now. */
  boolean hasToken(long nowNanos) {
    refill(nowNanos);
    return tokens >= 1;
  }

  /** Takes a token for a request that is sent. */
  void takeToken(long nowNanos) {
    refill(nowNanos);
    tokens -= 1;
  }

  private void refill(long nowNanos) {
    double newTokens = (nowNanos - refilledNanos) * tokensPerSecond / NANOS_PER_SECOND;
    tokens = Math.min(BURST_REQUESTS, tokens + newTokens);
    refilledNanos = nowNanos;
  }
}
