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

class MoveShareLimiterTest {
  @Test
  void movesNothingBeforeAShareIsSet() {
    MoveShareLimiter counter = new MoveShareLimiter(1);
    assertThat(counter.moveFirstAttempt(), is(false));
  }

  @Test
  void spreadsMovedRequestsEvenly() {
    MoveShareLimiter counter = new MoveShareLimiter(0.25);
    counter.setShare(0.25);
    List<Boolean> moves = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      moves.add(counter.moveFirstAttempt());
    }
    assertThat(moves, is(List.of(false, false, false, true, false, false, false, true)));
  }

  @Test
  void countsRetriesAgainstTheShare() {
    MoveShareLimiter counter = new MoveShareLimiter(0.5);
    counter.setShare(0.5);
    counter.moveFirstAttempt();
    assertThat(counter.moveFirstAttempt(), is(true));
    assertThat(counter.moveRetryOrHedge(), is(false));
    assertThat(counter.moveFirstAttempt(), is(false));
    assertThat(counter.moved(), is(1L));
  }

  @Test
  void ignoresEarlierRequestsWhenTheShareGrows() {
    MoveShareLimiter counter = new MoveShareLimiter(0.5);
    for (int i = 0; i < 1_000; i++) {
      counter.moveFirstAttempt();
    }
    counter.setShare(0.5);
    assertThat(counter.moveFirstAttempt(), is(false));
    assertThat(counter.moveFirstAttempt(), is(true));
    assertThat(counter.moveFirstAttempt(), is(false));
  }

  @Test
  void neverGoesAboveItsCap() {
    MoveShareLimiter counter = new MoveShareLimiter(0.1);
    counter.setShare(1);
    for (int i = 0; i < 100; i++) {
      counter.moveFirstAttempt();
    }
    assertThat(counter.moved(), is(10L));
  }

  @Property(tries = 300, seed = "4301")
  void keepsTheCapOnEachVmAndInTotalAfterEveryAttempt(
      @ForAll @IntRange(max = 100) int capPercent,
      @ForAll @Size(max = 400) List<@IntRange(max = 9_999) Integer> steps) {
    int vms = 5;
    List<MoveShareLimiter> counters = new ArrayList<>();
    for (int i = 0; i < vms; i++) {
      counters.add(new MoveShareLimiter(capPercent / 100.0));
    }
    long[] totals = new long[vms];
    long[] moved = new long[vms];
    long sumTotal = 0;
    long sumMoved = 0;
    for (int step : steps) {
      int vm = step % vms;
      MoveShareLimiter counter = counters.get(vm);
      int action = step / vms % 10;
      boolean moves = false;
      if (action == 0) {
        counter.setShare(step % 101 / 100.0);
      } else if (action < 4) {
        moves = counter.moveRetryOrHedge();
      } else {
        totals[vm]++;
        sumTotal++;
        moves = counter.moveFirstAttempt();
      }
      moved[vm] += moves ? 1 : 0;
      sumMoved += moves ? 1 : 0;
      assertThat(moved[vm], lessThanOrEqualTo(capPercent * totals[vm] / 100));
      assertThat(sumMoved, lessThanOrEqualTo(capPercent * sumTotal / 100));
    }
  }
}
