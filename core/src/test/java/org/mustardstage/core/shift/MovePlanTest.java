package org.mustardstage.core.shift;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.id.MoveId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.manifest.PlannedMove;

class MovePlanTest {
  private static final MoveId ID = new MoveId("move");
  private static final PlannedMove MOVE =
      new PlannedMove(
          ID, new ServiceName("s"), new RegionId("a"), new RegionId("b"), 0.4, 4, 2_000);
  private static final long STEP = 2_000_000_000L;
  private static final PlaceReport GOOD = new PlaceReport(0, 1_000, 1, 0, 0.5, 1);
  private static final MoveState BEGUN = new MoveState(ID, 5, 2, 0);

  @Test
  void stepsForwardWhenTheReceivingPlaceIsWell() {
    assertThat(
        next(BEGUN, STEP, GOOD), is(new MoveDecision.StepForward(new MoveState(ID, 6, 3, 0))));
  }

  @Test
  void holdsUntilTheStepTimeHasPassed() {
    assertThat(next(BEGUN, STEP - 1, GOOD), is(holds(GateReason.STEP_TIME)));
  }

  @Test
  void holdsWithoutAReportOrWithAnOldOne() {
    assertThat(MovePlan.next(MOVE, BEGUN, STEP, Optional.empty()), is(holds(GateReason.NO_REPORT)));
    PlaceReport old = new PlaceReport(4_000_000_000L, 1_000, 9, 0.9, 1, 0);
    assertThat(next(BEGUN, STEP, old), is(holds(GateReason.NO_REPORT)));
  }

  @Test
  void eachOfLatencyErrorsCapacityAndWarmthHoldsIt() {
    assertThat(next(BEGUN, STEP, report(1.5, 0, 0.5, 1)), is(holds(GateReason.LATENCY)));
    assertThat(next(BEGUN, STEP, report(1, 0.02, 0.5, 1)), is(holds(GateReason.ERRORS)));
    assertThat(next(BEGUN, STEP, report(1, 0, 0.9, 1)), is(holds(GateReason.CAPACITY)));
    assertThat(next(BEGUN, STEP, report(1, 0, 0.5, 0.5)), is(holds(GateReason.COLD_CACHE)));
  }

  @Test
  void eachOfLatencyErrorsCapacityAndWarmthStepsItBack() {
    assertThat(next(BEGUN, STEP, report(3, 0, 0.5, 1)), is(stepsBack(GateReason.LATENCY)));
    assertThat(next(BEGUN, STEP, report(1, 0.1, 0.5, 1)), is(stepsBack(GateReason.ERRORS)));
    assertThat(next(BEGUN, STEP, report(1, 0, 0.99, 1)), is(stepsBack(GateReason.CAPACITY)));
    assertThat(next(BEGUN, STEP, report(1, 0, 0.5, 0.1)), is(stepsBack(GateReason.COLD_CACHE)));
  }

  @Test
  void theFirstStepWarmsAColdPlace() {
    PlaceReport cold = report(1, 0, 0.5, 0);
    MoveState notBegun = MoveState.notBegun(ID);
    assertThat(next(notBegun, STEP, cold), is(new MoveDecision.StepForward(notBegun.forward())));
    assertThat(next(notBegun.forward(), STEP, cold), is(holds(GateReason.COLD_CACHE)));
  }

  @Test
  void waitsTwiceAsLongAfterAStepBackUntilOneForward() {
    MoveState once = new MoveState(ID, 7, 1, 1);
    assertThat(next(once, 2 * STEP - 1, GOOD), is(holds(GateReason.STEP_TIME)));
    assertThat(next(once, 2 * STEP, GOOD), is(new MoveDecision.StepForward(once.forward())));
    assertThat(next(once.forward(), STEP, GOOD) instanceof MoveDecision.StepForward, is(true));
  }

  @Test
  void endsAtItsCap() {
    MoveState last = new MoveState(ID, 9, 4, 0);
    assertThat(next(last, 9 * STEP, GOOD), is(holds(GateReason.COMPLETE)));
    assertThat(last.share(MOVE), closeTo(0.4, 1e-12));
  }

  @Test
  void aSmallerPlanCutsTheShareOfAStateThatWasFurther() {
    assertThat(new MoveState(ID, 9, 50, 0).share(MOVE), closeTo(0.4, 1e-12));
  }

  @Test
  void anOlderStateNeverReplacesANewerOne() {
    assertThat(BEGUN.newer(BEGUN.forward()), is(BEGUN.forward()));
    assertThat(BEGUN.forward().newer(BEGUN), is(BEGUN.forward()));
  }

  @Property(tries = 200, seed = "4302")
  void movesOneStepAtATimeWithinItsRangeWhoeverDrivesIt(
      @ForAll @Size(max = 100) List<@IntRange(max = 9_999) Integer> events) {
    MoveState state = MoveState.notBegun(ID);
    for (int event : events) {
      PlaceReport report = report(event % 4, event % 7 / 100.0, event % 11 / 10.0, event % 5 / 4.0);
      long heldNanos = event % 3 * STEP;
      MoveState next =
          switch (next(state, heldNanos, report)) {
            case MoveDecision.StepForward forward -> forward.next();
            case MoveDecision.StepBack back -> back.next();
            case MoveDecision.Hold hold -> state;
          };
      assertThat(Math.abs(next.step() - state.step()), lessThanOrEqualTo(1));
      assertThat(next.revision(), greaterThanOrEqualTo(state.revision()));
      assertThat(next.step(), lessThanOrEqualTo(MOVE.steps()));
      state = next;
    }
  }

  private static MoveDecision next(MoveState state, long heldNanos, PlaceReport report) {
    return MovePlan.next(MOVE, state, heldNanos, Optional.of(report));
  }

  private static PlaceReport report(double slowdown, double errors, double used, double warmth) {
    return new PlaceReport(0, 1_000, slowdown, errors, used, warmth);
  }

  private static MoveDecision holds(GateReason reason) {
    return new MoveDecision.Hold(reason);
  }

  private static MoveDecision stepsBack(GateReason reason) {
    return new MoveDecision.StepBack(BEGUN.back(), reason);
  }
}
