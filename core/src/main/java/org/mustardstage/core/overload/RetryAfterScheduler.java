package org.mustardstage.core.overload;

import java.util.random.RandomGenerator;

/**
 * Gives each refused caller a time to come back. Times are handed out one after the other, at a
 * fixed share of the rate at which the queue moves, so that callers never come back together. When
 * the last time lies too far ahead, callers are spread at random over the later half of the range.
 */
public final class RetryAfterScheduler {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final double NANOS_PER_SECOND = 1e9;

  private final RetryAfterSettings settings;
  private final RandomGenerator random;
  private double lastSlotEndNanos = Double.NEGATIVE_INFINITY;

  /** Creates an estimator that draws its jitter from {@code random}. */
  public RetryAfterScheduler(RetryAfterSettings settings, RandomGenerator random) {
    this.settings = settings;
    this.random = random;
  }

  /** Returns when the next refused caller comes back, as a time from now. */
  public long nextMillis(long nowNanos, double departuresPerSecond) {
    double earliestNanos = nowNanos + (double) settings.minMillis() * NANOS_PER_MILLI;
    double gapNanos = NANOS_PER_SECOND / (settings.retryShare() * departuresPerSecond);
    double startNanos = Math.max(earliestNanos, lastSlotEndNanos);
    double returnNanos = startNanos + gapNanos;
    double waitMillis = (startNanos + random.nextDouble() * gapNanos - nowNanos) / NANOS_PER_MILLI;
    if (returnNanos - nowNanos > (double) settings.maxMillis() * NANOS_PER_MILLI) {
      return randomInLaterHalf();
    }
    lastSlotEndNanos = returnNanos;
    return Math.min(settings.maxMillis(), (long) Math.ceil(waitMillis));
  }

  private long randomInLaterHalf() {
    long halfMillis = settings.maxMillis() / 2;
    return settings.maxMillis() - random.nextLong(halfMillis);
  }
}
