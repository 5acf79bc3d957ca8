package org.mustardstage.core.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import org.mustardstage.core.tenant.TenantQuota;

/**
 * What the owner of a tenant's quota has left to hand out, and what it has handed out that may
 * still be used. Both together never exceed the capacity, so what runs in a window is at most the
 * capacity and what is added meanwhile, whether permits are used, returned or lost.
 */
final class QuotaBucket {
  /** How far in the future refused requests are told to come again, at most. */
  private static final long MAX_RETRY_NANOS = 5_000_000_000L;

  private final Deque<Batch> handedOut = new ArrayDeque<>();
  private int handedOutCount;
  private double left;

  /** The share seconds of the group up to which {@link #left} is counted. */
  private double countedShareSeconds;

  private long nextRetryNanos;

  private static final class Batch {
    private final long number;
    private final long expiresNanos;
    private int count;

    Batch(long number, long expiresNanos, int count) {
      this.number = number;
      this.expiresNanos = expiresNanos;
      this.count = count;
    }
  }

  /** Creates a bucket that nothing was taken from since {@code fromShareSeconds}. */
  QuotaBucket(long nowNanos, double fromShareSeconds) {
    this.countedShareSeconds = fromShareSeconds;
    this.nextRetryNanos = nowNanos;
  }

  double left() {
    return left;
  }

  int handedOutCount() {
    return handedOutCount;
  }

  /**
   * Adds what the quota allows for the time since the last call.
   *
   * @param shareSeconds the integral of the owned share over time
   * @param share the share that is owned now
   */
  void refill(
      long nowNanos, TenantQuota quota, QuotaSettings settings, double shareSeconds, double share) {
    while (!handedOut.isEmpty() && nowNanos - handedOut.peekFirst().expiresNanos > 0) {
      handedOutCount -= handedOut.removeFirst().count;
    }
    left += quota.requestsPerSecond() * (shareSeconds - countedShareSeconds);
    countedShareSeconds = shareSeconds;
    double most = share * settings.capacity(quota) - handedOutCount;
    left = Math.max(0, Math.min(left, most));
  }

  /** Hands out up to {@code wanted} permits as one batch; returns how many. */
  int take(int wanted, long batch, long expiresNanos) {
    int count = (int) Math.min(wanted, Math.floor(left));
    if (count > 0) {
      left -= count;
      handedOutCount += count;
      handedOut.addLast(new Batch(batch, expiresNanos, count));
    }
    return count;
  }

  /** Takes back unused permits of a batch; those that have expired meanwhile are lost. */
  void putBack(long number, int count) {
    for (Batch batch : handedOut) {
      if (batch.number == number) {
        int returned = Math.min(batch.count, count);
        batch.count -= returned;
        handedOutCount -= returned;
        left += returned;
        return;
      }
    }
  }

  /**
   * Returns after how long the first of {@code refused} requests may come again. Requests that are
   * refused one after the other are told one time after the other, at the rate of the quota.
   */
  long retryAfterNanos(long nowNanos, int refused, double requestsPerSecond) {
    double nanosPerRequest = 1e9 / Math.max(requestsPerSecond, 1e-3);
    long earliestNanos = nowNanos + (long) Math.min(MAX_RETRY_NANOS, nanosPerRequest * (1 - left));
    long first = Math.max(earliestNanos, nextRetryNanos);
    nextRetryNanos =
        Math.min(nowNanos + MAX_RETRY_NANOS, first + (long) (refused * nanosPerRequest));
    return Math.min(MAX_RETRY_NANOS, Math.max(0, first - nowNanos));
  }
}
