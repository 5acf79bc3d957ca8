package org.mustardstage.core.placement;

/**
 * Lets few requests through to an endpoint that has just started, so that it isn't run over while
 * it is cold. A token bucket whose burst is small, as the bound holds for each second.
 */
final class ColdAllowance {
  /** Less than half, as two schedulers may each believe that they are in charge. */
  private static final double SHARE_OF_RATE = 0.45;

  private static final double BURST_REQUESTS = 1;
  private static final double NANOS_PER_SECOND = 1e9;

  private final double perSecond;
  private double tokens = 1;
  private long filledNanos;

  ColdAllowance(long nowNanos, double declaredPerSecond) {
    this.perSecond = SHARE_OF_RATE * declaredPerSecond;
    this.filledNanos = nowNanos;
  }

  /** Returns whether a request may be sent now. */
  boolean allows(long nowNanos) {
    fill(nowNanos);
    return tokens >= 1;
  }

  /** Takes one request from the allowance. */
  void take(long nowNanos) {
    fill(nowNanos);
    tokens -= 1;
  }

  private void fill(long nowNanos) {
    double earned = (nowNanos - filledNanos) * perSecond / NANOS_PER_SECOND;
    tokens = Math.min(BURST_REQUESTS, tokens + earned);
    filledNanos = nowNanos;
  }
}
