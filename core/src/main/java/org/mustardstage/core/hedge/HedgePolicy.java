package org.mustardstage.core.hedge;

import java.util.OptionalLong;
import org.mustardstage.core.overload.RetryBudget;

/**
 * Decides when an idempotent request gets a second attempt at another endpoint while its first one
 * still runs. The first response wins, and the other attempt is cancelled.
 *
 * <p>Handles a tail of slow responses at endpoints that are up: one machine that is slow, or a
 * pause now and then. A request is hedged when its response takes longer than nearly all recent
 * ones did, relative to what was expected of them, so the delay follows a service that becomes slow
 * as a whole. Second attempts are limited to a share of the first ones and need a service with
 * slots to spare, so they take none from a first attempt and end by themselves when everything is
 * slow.
 *
 * <p>Each VM adds the share of its own first attempts to its own budget and keeps no more than one
 * unused hedge, so all VMs together stay within the share of all first attempts in any window, and
 * one hedge a VM. One policy belongs to one service and VM.
 */
public final class HedgePolicy {
  /** Responses slower than this quantile of the recent ones are the tail. */
  private static final double TAIL_QUANTILE = 0.95;

  /** A hedge sooner than this multiple of the expected time duplicates ordinary responses. */
  private static final double MIN_DELAY_RATIO = 1.2;

  /** The share of the slots that must be idle; a first attempt finds one of these at once. */
  private static final double MIN_IDLE_SHARE = 0.25;

  private final SlowdownHistogram slowdowns;
  private final RetryBudget budget;

  /** Creates a policy that has seen no response. */
  public HedgePolicy(HedgeSettings settings, long nowNanos) {
    this.slowdowns = new SlowdownHistogram(nowNanos);
    this.budget = new RetryBudget(settings.extraShare(), /* reserve= */ 0, /* maxRetries= */ 1);
  }

  /** Records the first attempt of a request, which adds to the budget. */
  public void recordFirstAttempt() {
    budget.recordFirstAttempt();
  }

  /** Records a complete response. */
  public void recordResponse(long nowNanos, long expectedNanos, long elapsedNanos) {
    slowdowns.record(nowNanos, expectedNanos, elapsedNanos);
  }

  /**
   * Returns how long after its start an attempt belongs to the tail; empty if that is not known
   * yet, or if a second attempt could not respond before the deadline.
   *
   * @param expectedNanos the time that the response was expected to take
   * @param remainingNanos the time until the deadline, from the start of the attempt
   */
  public OptionalLong delayNanos(long nowNanos, long expectedNanos, long remainingNanos) {
    OptionalLong delay =
        slowdowns.quantile(nowNanos, TAIL_QUANTILE).stream()
            .mapToLong(ratio -> (long) (Math.max(MIN_DELAY_RATIO, ratio) * expectedNanos))
            .findFirst();
    return delay.isPresent() && delay.getAsLong() + expectedNanos < remainingNanos
        ? delay
        : OptionalLong.empty();
  }

  /** Takes one hedge from the budget if the service has slots to spare; returns whether it did. */
  public boolean tryAcquire(SlotUse use) {
    boolean spare =
        use.queued() == 0 && use.slots() - use.busySlots() >= MIN_IDLE_SHARE * use.slots();
    return spare && use.slots() > 0 && budget.tryAcquire();
  }
}
