package org.mustardstage.core.route;

/**
 * Limits the attempts that one entry VM sends to one region to a share of its first attempts, and
 * to a rate by a token bucket.
 */
final class RegionLimiter {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double BURST_SECONDS = 0.1;

  private final double maxShare;
  private final double tokensPerNano;
  private final double maxTokens;
  private long firstAttempts;
  private long sent;
  private double tokens;
  private long updatedNanos;

  RegionLimiter(long nowNanos, double maxShare, double requestsPerSecond) {
    this.maxShare = maxShare;
    this.tokensPerNano = requestsPerSecond / NANOS_PER_SECOND;
    this.maxTokens = Math.max(1, requestsPerSecond * BURST_SECONDS);
    this.tokens = maxTokens;
    this.updatedNanos = nowNanos;
  }

  void recordFirstAttempt() {
    firstAttempts++;
  }

  boolean maySend(long nowNanos) {
    refill(nowNanos);
    return sent < maxSent() && tokens >= 1;
  }

  void recordSent(long nowNanos) {
    refill(nowNanos);
    sent++;
    tokens--;
  }

  private double maxSent() {
    return maxShare == 0 ? 0 : 1 + Math.floor(maxShare * firstAttempts);
  }

  private void refill(long nowNanos) {
    long elapsedNanos = Math.max(0, nowNanos - updatedNanos);
    tokens = Math.min(maxTokens, tokens + elapsedNanos * tokensPerNano);
    updatedNanos = nowNanos;
  }
}
