package org.mustardstage.core.overload;

import com.google.common.base.Preconditions;

/**
 * Keeps retries of a service to a share of its first attempts. At every moment the retries granted
 * are at most {@code reserve + floor(share * first attempts)}.
 */
public final class RetryBudget {
  private static final long UNITS_PER_RETRY = 1_000_000;

  private final long unitsPerFirstAttempt;
  private final long maxUnits;
  private long units;

  /**
   * Creates a budget.
   *
   * @param share the share of first attempts that may be retried
   * @param reserve the retries that may be granted before any first attempt
   * @param maxSaved the most retries that quiet times save up
   */
  public RetryBudget(double share, int reserve, int maxSaved) {
    Preconditions.checkArgument(share >= 0 && share <= 1, "share out of range");
    Preconditions.checkArgument(reserve >= 0 && reserve <= maxSaved, "reserve out of range");
    this.unitsPerFirstAttempt = (long) Math.floor(share * UNITS_PER_RETRY);
    this.maxUnits = maxSaved * UNITS_PER_RETRY;
    this.units = reserve * UNITS_PER_RETRY;
  }

  /** Returns a budget of one retry in ten first attempts. */
  public static RetryBudget ofTenPercent() {
    return new RetryBudget(0.1, 5, 50);
  }

  /** Counts a first attempt. */
  public void recordFirstAttempt() {
    units = Math.min(maxUnits, units + unitsPerFirstAttempt);
  }

  /** Returns whether a retry may be sent, and if so takes it from the budget. */
  public boolean tryAcquire() {
    if (units < UNITS_PER_RETRY) {
      return false;
    }
    units -= UNITS_PER_RETRY;
    return true;
  }
}
