package org.mustardstage.core.overload;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/**
 * Guards against retry amplification: without a budget, a failing service gets a multiple of its
 * usual load.
 */
class RetryBudgetTest {
  @Test
  void grantsOneRetryInTenFirstAttempts() {
    RetryBudget budget = new RetryBudget(0.1, 0, 10);
    assertThat(budget.tryAcquire(), is(false));
    for (int i = 0; i < 10; i++) {
      budget.recordFirstAttempt();
    }
    assertThat(budget.tryAcquire(), is(true));
    assertThat(budget.tryAcquire(), is(false));
  }

  @Test
  void accumulatesNoMoreThanItsMaximum() {
    RetryBudget budget = new RetryBudget(1, 0, 2);
    for (int i = 0; i < 10; i++) {
      budget.recordFirstAttempt();
    }
    assertThat(budget.tryAcquire(), is(true));
    assertThat(budget.tryAcquire(), is(true));
    assertThat(budget.tryAcquire(), is(false));
  }

  @Property(tries = 300, seed = "4402")
  void neverGrantsMoreThanReserveAndShare(@ForAll @Size(max = 400) List<Boolean> firstAttempts) {
    RetryBudget budget = RetryBudget.ofTenPercent();
    int firstAttemptCount = 0;
    int retryCount = 0;
    for (boolean isFirstAttempt : firstAttempts) {
      if (isFirstAttempt) {
        budget.recordFirstAttempt();
        firstAttemptCount++;
      } else if (budget.tryAcquire()) {
        retryCount++;
      }
      assertThat(retryCount, lessThanOrEqualTo(5 + firstAttemptCount / 10));
    }
  }
}
