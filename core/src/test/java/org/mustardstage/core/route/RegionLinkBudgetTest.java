package org.mustardstage.core.route;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class RegionLinkBudgetTest {
  private static final long MILLI = 1_000_000;
  private static final long BITS_PER_SECOND = 8_000_000;

  private final RegionLinkBudget budget = new RegionLinkBudget(0, BITS_PER_SECOND, 10 * MILLI);

  @Test
  void letsTransfersStartUpToItsBurst() {
    assertThat(budget.tryAcquire(0, 10_000), is(true));
    assertThat(budget.tryAcquire(0, 1), is(false));
    assertThat(budget.tryAcquire(5 * MILLI, 5_000), is(true));
  }

  @Test
  void paysBackWhatWasMoreThanExpected() {
    assertThat(budget.tryAcquire(0, 1_000), is(true));
    budget.settle(0, 1_000, 20_000);
    assertThat(budget.tryAcquire(9 * MILLI, 1), is(false));
    assertThat(budget.tryAcquire(11 * MILLI, 1), is(true));
  }

  @Test
  void givesBackWhatWasLessThanExpected() {
    budget.tryAcquire(0, 10_000);
    budget.settle(0, 10_000, 0);
    assertThat(budget.tryAcquire(0, 10_000), is(true));
  }

  @Test
  void letsATransferLargerThanTheBurstStartOnceItIsFull() {
    assertThat(budget.tryAcquire(0, 50_000), is(true));
    assertThat(budget.tryAcquire(40 * MILLI, 1), is(false));
    assertThat(budget.tryAcquire(51 * MILLI, 1), is(true));
  }

  @Test
  void aShareOfNothingLetsNothingStart() {
    budget.setRate(0, 0);
    assertThat(budget.tryAcquire(60_000 * MILLI, 1), is(false));
  }

  @Test
  void dividesALinkEvenly() {
    assertThat(RegionLinkBudget.equalRate(4_000_000_000L, 8), is(500_000_000L));
  }

  @Property(tries = 200, seed = "4203")
  void neverMovesMoreThanItsShareAndBurst(
      @ForAll @Size(max = 300) List<@IntRange(max = 9_000) Integer> transfers) {
    long nowNanos = 0;
    long movedBytes = 0;
    for (int bytes : transfers) {
      nowNanos += bytes % 5 * MILLI;
      if (budget.tryAcquire(nowNanos, bytes)) {
        movedBytes += bytes;
      }
      long allowedBytes = 10_000 + nowNanos / 1_000;
      assertThat(movedBytes, lessThanOrEqualTo(allowedBytes));
    }
  }
}
