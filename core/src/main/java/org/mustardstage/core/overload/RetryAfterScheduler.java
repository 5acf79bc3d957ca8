package org.mustardstage.core.overload;

import java.util.random.RandomGenerator;

/**
 * Schedules the retries of rejected callers. Each caller gets the next time slot, with jitter
 * inside the slot. Slots follow each other at a fixed share of the departure rate of the queue, so
 * that callers don't retry all at once. When the next slot would end beyond the largest delay, the
 * delay is drawn at random from the later half of the range up to the largest delay.
 */
public final class RetryAfterScheduler {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final double NANOS_PER_SECOND = 1e9;

  private final RetryAfterSettings settings;
  private final RandomGenerator random;
  private double lastSlotEndNanos = Double.NEGATIVE_INFINITY;

  /** Creates a scheduler that draws its jitter from {@code random}. */
  public RetryAfterScheduler(RetryAfterSettings settings, RandomGenerator random) {
    this.settings = settings;
    this.random = random;
  }

  /** Returns the delay from now after which the next rejected caller may retry. */
  public long nextMillis(long nowNanos, double departuresPerSecond) {
    double earliestNanos = nowNanos + (double) settings.minMillis() * NANOS_PER_MILLI;
    double slotNanos = NANOS_PER_SECOND / (settings.retryShare() * departuresPerSecond);
    double slotStartNanos = Math.max(earliestNanos, lastSlotEndNanos);
    double slotEndNanos = slotStartNanos + slotNanos;
    double delayMillis =
        (slotStartNanos + random.nextDouble() * slotNanos - nowNanos) / NANOS_PER_MILLI;
    if (slotEndNanos - nowNanos > (double) settings.maxMillis() * NANOS_PER_MILLI) {
      return randomInLaterHalf();
    }
    lastSlotEndNanos = slotEndNanos;
    return Math.min(settings.maxMillis(), (long) Math.ceil(delayMillis));
  }

  private long randomInLaterHalf() {
    long halfMillis = settings.maxMillis() / 2;
    return settings.maxMillis() - random.nextLong(halfMillis);
  }
}
