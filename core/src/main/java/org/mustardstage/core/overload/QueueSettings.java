package org.mustardstage.core.overload;

import com.google.common.base.Preconditions;

/**
 * The limits of a request queue.
 *
 * @param maxNonBatchEntries the largest number of queued non-idempotent and interactive requests
 *     together
 * @param maxBatchEntries the largest number of queued batch requests
 * @param minInteractiveShare the share of departures reserved for interactive requests while any
 *     are queued
 * @param minBatchShare the share of departures reserved for batch requests while any are queued
 * @param minTargetWaitNanos the lower bound of the target wait, which is otherwise a multiple of
 *     the service time
 * @param overloadAfterNanos how long the expected wait must stay above half the target wait until
 *     the service counts as overloaded
 */
public record QueueSettings(
    int maxNonBatchEntries,
    int maxBatchEntries,
    double minInteractiveShare,
    double minBatchShare,
    long minTargetWaitNanos,
    long overloadAfterNanos) {
  /** The default settings. */
  public static final QueueSettings DEFAULT =
      new QueueSettings(1_000, 1_000, 0.1, 0.05, 50_000_000, 100_000_000);

  /** Checks that limits are positive and that reserved shares are at most half of departures. */
  public QueueSettings {
    Preconditions.checkArgument(maxNonBatchEntries > 0, "maxNonBatchEntries must be positive");
    Preconditions.checkArgument(maxBatchEntries > 0, "maxBatchEntries must be positive");
    Preconditions.checkArgument(
        minInteractiveShare >= 0 && minBatchShare > 0,
        "minInteractiveShare must not be negative and minBatchShare must be positive");
    Preconditions.checkArgument(
        minInteractiveShare + minBatchShare <= 0.5,
        "minInteractiveShare and minBatchShare together must be at most 0.5");
    Preconditions.checkArgument(minTargetWaitNanos > 0, "minTargetWaitNanos must be positive");
    Preconditions.checkArgument(overloadAfterNanos > 0, "overloadAfterNanos must be positive");
  }
}
