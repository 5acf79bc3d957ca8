package org.mustardstage.core.placement;

/**
 * Lets few requests through to an endpoint that has just started, so that it isn't run over while
 * it is cold. A token bucket whose burst is small, as the bound holds for each second.
 */
final class ColdStartRateLimiter {
  /** Less than half, as two schedulers may each believe that they are in charge. */
  private static final double RATE_SHARE = 0.45;

  private static final double BURST_REQUESTS = 1;
  private static final double NANOS_PER_SECOND = 1e9;

  private final double tokensPerSecond;
  private double tokens = 1;
  private long refilledNanos;

  ColdStartRateLimiter(long nowNanos, double declaredPerSecond) {
    this.tokensPerSecond = RATE_SHARE * declaredPerSecond;
    this.refilledNanos = nowNanos;
  }

  /** Returns whether a request may be sent now. */
  boolean hasToken(long nowNanos) {
    refill(nowNanos);
    return tokens >= 1;
  }

  /** Takes one request from the allowance. */
  void takeToken(long nowNanos) {
    refill(nowNanos);
    tokens -= 1;
  }

  private void refill(long nowNanos) {
    double earned = (nowNanos - refilledNanos) * tokensPerSecond / NANOS_PER_SECOND;
    tokens = Math.min(BURST_REQUESTS, tokens + earned);
    refilledNanos = nowNanos;
  }
}
