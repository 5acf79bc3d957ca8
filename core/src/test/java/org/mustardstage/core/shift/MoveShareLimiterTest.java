package org.mustardstage.core.shift;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/**
 * Checks that the moved attempts never exceed the cap, not even by retries, after a change of the
 * share or in the sum of several VMs.
 */
class MoveShareLimiterTest {
  @Test
  void movesNothingBeforeAShareIsSet() {
    MoveShareLimiter limiter = new MoveShareLimiter(1);
    assertThat(limiter.moveFirstAttempt(), is(false));
  }

  @Test
  void spreadsMovedRequestsEvenly() {
    MoveShareLimiter limiter = new MoveShareLimiter(0.25);
    limiter.setShare(0.25);
    List<Boolean> moves = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      moves.add(limiter.moveFirstAttempt());
    }
    assertThat(moves, is(List.of(false, false, false, true, false, false, false, true)));
  }

  @Test
  void countsRetriesAgainstTheShare() {
    MoveShareLimiter limiter = new MoveShareLimiter(0.5);
    limiter.setShare(0.5);
    limiter.moveFirstAttempt();
    assertThat(limiter.moveFirstAttempt(), is(true));
    assertThat(limiter.moveRetryOrHedge(), is(false));
    assertThat(limiter.moveFirstAttempt(), is(false));
    assertThat(limiter.moved(), is(1L));
  }

  @Test
  void ignoresEarlierRequestsWhenTheShareGrows() {
    MoveShareLimiter limiter = new MoveShareLimiter(0.5);
    for (int i = 0; i < 1_000; i++) {
      limiter.moveFirstAttempt();
    }
    limiter.setShare(0.5);
    assertThat(limiter.moveFirstAttempt(), is(false));
    assertThat(limiter.moveFirstAttempt(), is(true));
    assertThat(limiter.moveFirstAttempt(), is(false));
  }

  @Test
  void neverGoesAboveItsCap() {
    MoveShareLimiter limiter = new MoveShareLimiter(0.1);
    limiter.setShare(1);
    for (int i = 0; i < 100; i++) {
      limiter.moveFirstAttempt();
    }
    assertThat(limiter.moved(), is(10L));
  }

  @Property(tries = 300, seed = "4301")
  void keepsTheCapOnEachVmAndInTotalAfterEveryAttempt(
      @ForAll @IntRange(max = 100) int capPercent,
      @ForAll @Size(max = 400) List<@IntRange(max = 9_999) Integer> steps) {
    int vms = 5;
    List<MoveShareLimiter> limiters = new ArrayList<>();
    for (int i = 0; i < vms; i++) {
      limiters.add(new MoveShareLimiter(capPercent / 100.0));
    }
    long[] totals = new long[vms];
    long[] moved = new long[vms];
    long sumTotal = 0;
    long sumMoved = 0;
    for (int step : steps) {
      int vm = step % vms;
      MoveShareLimiter limiter = limiters.get(vm);
      int action = step / vms % 10;
      boolean moves = false;
      if (action == 0) {
        limiter.setShare(step % 101 / 100.0);
      } else if (action < 4) {
        moves = limiter.moveRetryOrHedge();
      } else {
        totals[vm]++;
        sumTotal++;
        moves = limiter.moveFirstAttempt();
      }
      moved[vm] += moves ? 1 : 0;
      sumMoved += moves ? 1 : 0;
      assertThat(moved[vm], lessThanOrEqualTo(capPercent * totals[vm] / 100));
      assertThat(sumMoved, lessThanOrEqualTo(capPercent * sumTotal / 100));
    }
  }
}
