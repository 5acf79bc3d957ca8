package org.mustardstage.core.overload;

import com.google.common.base.Preconditions;

/**
 * Limits the retries of a service to a share of its first attempts, so that retries don't multiply
 * the load of a failing service. At every moment the retries granted are at most {@code reserve +
 * floor(share * first attempts)}.
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
   * @param reserve the number of retries that may be granted before any first attempt
   * @param maxRetries the largest number of unused retries that accumulate
   */
  public RetryBudget(double share, int reserve, int maxRetries) {
    Preconditions.checkArgument(share >= 0 && share <= 1, "share must be from 0 to 1");
    Preconditions.checkArgument(
        reserve >= 0 && reserve <= maxRetries, "reserve must be from 0 to maxRetries");
    this.unitsPerFirstAttempt = (long) Math.floor(share * UNITS_PER_RETRY);
    this.maxUnits = maxRetries * UNITS_PER_RETRY;
    this.units = reserve * UNITS_PER_RETRY;
  }

  /** Returns a budget of one retry per ten first attempts, with a reserve of 5 and at most 50. */
  public static RetryBudget ofTenPercent() {
    return new RetryBudget(0.1, 5, 50);
  }

  /** Adds the share of a first attempt to the budget. */
  public void recordFirstAttempt() {
    units = Math.min(maxUnits, units + unitsPerFirstAttempt);
  }

  /** Takes one retry from the budget and returns true, or returns false when none is left. */
  public boolean tryAcquire() {
    if (units < UNITS_PER_RETRY) {
      return false;
    }
    units -= UNITS_PER_RETRY;
    return true;
  }
}
