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

/**
 * Guards against entry VMs that together exceed the bandwidth between two regions, and against a
 * budget that blocks large transfers forever.
 */
class RegionLinkBudgetTest {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long BITS_PER_SECOND = 8_000_000;

  private final RegionLinkBudget budget =
      new RegionLinkBudget(0, BITS_PER_SECOND, 10 * NANOS_PER_MILLI);

  @Test
  void startsTransfersUpToItsBurst() {
    assertThat(budget.tryAcquire(0, 10_000), is(true));
    assertThat(budget.tryAcquire(0, 1), is(false));
    assertThat(budget.tryAcquire(5 * NANOS_PER_MILLI, 5_000), is(true));
  }

  @Test
  void delaysTransfersAfterOneLargerThanExpected() {
    assertThat(budget.tryAcquire(0, 1_000), is(true));
    budget.settle(0, 1_000, 20_000);
    assertThat(budget.tryAcquire(9 * NANOS_PER_MILLI, 1), is(false));
    assertThat(budget.tryAcquire(11 * NANOS_PER_MILLI, 1), is(true));
  }

  @Test
  void refundsATransferSmallerThanExpected() {
    budget.tryAcquire(0, 10_000);
    budget.settle(0, 10_000, 0);
    assertThat(budget.tryAcquire(0, 10_000), is(true));
  }

  @Test
  void startsATransferLargerThanTheBurstWhenFull() {
    assertThat(budget.tryAcquire(0, 50_000), is(true));
    assertThat(budget.tryAcquire(40 * NANOS_PER_MILLI, 1), is(false));
    assertThat(budget.tryAcquire(51 * NANOS_PER_MILLI, 1), is(true));
  }

  @Test
  void startsNothingAtRateZero() {
    budget.setRate(0, 0);
    assertThat(budget.tryAcquire(60_000 * NANOS_PER_MILLI, 1), is(false));
  }

  @Test
  void dividesTheBandwidthEqually() {
    assertThat(RegionLinkBudget.equalRate(4_000_000_000L, 8), is(500_000_000L));
  }

  @Property(tries = 200, seed = "4203")
  void neverTransfersMoreThanItsRateAndBurst(
      @ForAll @Size(max = 300) List<@IntRange(max = 9_000) Integer> transfers) {
    long nowNanos = 0;
    long transferredBytes = 0;
    for (int bytes : transfers) {
      nowNanos += bytes % 5 * NANOS_PER_MILLI;
      if (budget.tryAcquire(nowNanos, bytes)) {
        transferredBytes += bytes;
      }
      long allowedBytes = 10_000 + nowNanos / 1_000;
      assertThat(transferredBytes, lessThanOrEqualTo(allowedBytes));
    }
  }
}
