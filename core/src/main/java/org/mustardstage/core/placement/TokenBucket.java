package org.mustardstage.core.placement;

/** Limits a rate of requests, with a burst after a time without requests. */
final class TokenBucket {
  private static final double NANOS_PER_SECOND = 1e9;

  private final double burstTokens;
  private double tokensPerSecond;
  private double tokens;
  private long refilledNanos;

  TokenBucket(long nowNanos, double tokensPerSecond, double burstTokens, double initialTokens) {
    this.refilledNanos = nowNanos;
    this.tokensPerSecond = tokensPerSecond;
    this.burstTokens = burstTokens;
    this.tokens = initialTokens;
  }

  /** Changes the rate; the tokens until now are those of the rate before. */
  void setRate(long nowNanos, double newTokensPerSecond) {
    refill(nowNanos);
    tokensPerSecond = newTokensPerSecond;
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
    tokens = Math.min(burstTokens, tokens + newTokens);
    refilledNanos = nowNanos;
  }
}
