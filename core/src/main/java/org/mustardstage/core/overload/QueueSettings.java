package org.mustardstage.core.overload;

import com.google.common.base.Preconditions;

/**
 * The bounds of a request queue.
 *
 * @param maxUrgentEntries the most non-idempotent and interactive requests that wait together
 * @param maxBatchEntries the most batch requests that wait
 * @param interactiveShare the share of departures kept for interactive requests that wait
 * @param batchShare the share of departures kept for batch requests that wait
 * @param minTargetWaitNanos the wait above which a queue counts as standing, at least
 * @param overloadAfterNanos how long a queue must stand until the service counts as overloaded
 */
public record QueueSettings(
    int maxNonBatchEntries,
    int maxBatchEntries,
    double minInteractiveShare,
    double minBatchShare,
    long minTargetWaitNanos,
    long overloadAfterNanos) {
  /** The settings used where nothing else is said. */
  public static final QueueSettings DEFAULT =
      new QueueSettings(1_000, 1_000, 0.1, 0.05, 50_000_000, 100_000_000);

  /** Checks that bounds are positive and shares leave the larger part to important requests. */
  public QueueSettings {
    Preconditions.checkArgument(maxNonBatchEntries > 0, "bound of urgent entries must be positive");
    Preconditions.checkArgument(maxBatchEntries > 0, "bound of batch entries must be positive");
    Preconditions.checkArgument(
        minInteractiveShare >= 0 && minBatchShare > 0, "share out of range");
    Preconditions.checkArgument(
        minInteractiveShare + minBatchShare <= 0.5, "shares above one half");
    Preconditions.checkArgument(minTargetWaitNanos > 0, "target wait must be positive");
    Preconditions.checkArgument(overloadAfterNanos > 0, "overload time must be positive");
  }
}
