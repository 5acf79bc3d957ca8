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

/**
 * Checks that a move steps forward only while the receiving region is healthy, steps back when it
 * is overloaded, and survives a change of the process that drives it.
 */
class MoveStepPolicyTest {
  private static final MoveId ID = new MoveId("move");
  private static final PlannedMove MOVE =
      new PlannedMove(
          ID, new ServiceName("s"), new RegionId("a"), new RegionId("b"), 0.4, 4, 2_000);
  private static final long STEP_NANOS = 2_000_000_000L;
  private static final ReceivingRegionReport GOOD =
      new ReceivingRegionReport(0, 1_000, 1, 0, 0.5, 1);
  private static final MoveState AFTER_TWO_STEPS = new MoveState(ID, 5, 2, 0);

  @Test
  void stepsForwardWhenTheReceivingRegionIsHealthy() {
    assertThat(
        decide(AFTER_TWO_STEPS, STEP_NANOS, GOOD),
        is(new MoveDecision.StepForward(new MoveState(ID, 6, 3, 0))));
  }

  @Test
  void holdsUntilTheStepTimeHasPassed() {
    assertThat(decide(AFTER_TWO_STEPS, STEP_NANOS - 1, GOOD), is(hold(GateReason.STEP_TIME)));
  }

  @Test
  void holdsWithoutAReportOrWithAnOldOne() {
    assertThat(
        MoveStepPolicy.decide(MOVE, AFTER_TWO_STEPS, STEP_NANOS, Optional.empty()),
        is(hold(GateReason.NO_REPORT)));
    ReceivingRegionReport old = new ReceivingRegionReport(4_000_000_000L, 1_000, 9, 0.9, 1, 0);
    assertThat(decide(AFTER_TWO_STEPS, STEP_NANOS, old), is(hold(GateReason.NO_REPORT)));
  }

  @Test
  void holdsOnEachOfLatencyErrorsUtilizationAndWarmth() {
    assertThat(
        decide(AFTER_TWO_STEPS, STEP_NANOS, report(1.5, 0, 0.5, 1)), is(hold(GateReason.LATENCY)));
    assertThat(
        decide(AFTER_TWO_STEPS, STEP_NANOS, report(1, 0.02, 0.5, 1)), is(hold(GateReason.ERRORS)));
    assertThat(
        decide(AFTER_TWO_STEPS, STEP_NANOS, report(1, 0, 0.9, 1)), is(hold(GateReason.CAPACITY)));
    assertThat(
        decide(AFTER_TWO_STEPS, STEP_NANOS, report(1, 0, 0.5, 0.5)),
        is(hold(GateReason.COLD_CACHE)));
  }

  @Test
  void stepsBackOnEachOfLatencyErrorsUtilizationAndWarmth() {
    assertThat(
        decide(AFTER_TWO_STEPS, STEP_NANOS, report(3, 0, 0.5, 1)),
        is(stepBack(GateReason.LATENCY)));
    assertThat(
        decide(AFTER_TWO_STEPS, STEP_NANOS, report(1, 0.1, 0.5, 1)),
        is(stepBack(GateReason.ERRORS)));
    assertThat(
        decide(AFTER_TWO_STEPS, STEP_NANOS, report(1, 0, 0.99, 1)),
        is(stepBack(GateReason.CAPACITY)));
    assertThat(
        decide(AFTER_TWO_STEPS, STEP_NANOS, report(1, 0, 0.5, 0.1)),
        is(stepBack(GateReason.COLD_CACHE)));
  }

  @Test
  void firstStepIsTakenWithColdCaches() {
    ReceivingRegionReport cold = report(1, 0, 0.5, 0);
    MoveState notBegun = MoveState.initial(ID);
    assertThat(
        decide(notBegun, STEP_NANOS, cold),
        is(new MoveDecision.StepForward(notBegun.stepForward())));
    assertThat(decide(notBegun.stepForward(), STEP_NANOS, cold), is(hold(GateReason.COLD_CACHE)));
  }

  @Test
  void holdTimeDoublesAfterAStepBackUntilTheNextStepForward() {
    MoveState afterOneStepBack = new MoveState(ID, 7, 1, 1);
    assertThat(decide(afterOneStepBack, 2 * STEP_NANOS - 1, GOOD), is(hold(GateReason.STEP_TIME)));
    assertThat(
        decide(afterOneStepBack, 2 * STEP_NANOS, GOOD),
        is(new MoveDecision.StepForward(afterOneStepBack.stepForward())));
    assertThat(
        decide(afterOneStepBack.stepForward(), STEP_NANOS, GOOD)
            instanceof MoveDecision.StepForward,
        is(true));
  }

  @Test
  void holdsOnceAllStepsAreTaken() {
    MoveState atLastStep = new MoveState(ID, 9, 4, 0);
    assertThat(decide(atLastStep, 9 * STEP_NANOS, GOOD), is(hold(GateReason.COMPLETE)));
    assertThat(atLastStep.share(MOVE), closeTo(0.4, 1e-12));
  }

  @Test
  void shareIsLimitedWhenTheManifestLowersTheNumberOfSteps() {
    assertThat(new MoveState(ID, 9, 50, 0).share(MOVE), closeTo(0.4, 1e-12));
  }

  @Test
  void newerRevisionWins() {
    assertThat(
        AFTER_TWO_STEPS.newerOf(AFTER_TWO_STEPS.stepForward()), is(AFTER_TWO_STEPS.stepForward()));
    assertThat(
        AFTER_TWO_STEPS.stepForward().newerOf(AFTER_TWO_STEPS), is(AFTER_TWO_STEPS.stepForward()));
  }

  @Property(tries = 200, seed = "4302")
  void changesByAtMostOneStepAndStaysWithinTheNumberOfSteps(
      @ForAll @Size(max = 100) List<@IntRange(max = 9_999) Integer> events) {
    MoveState state = MoveState.initial(ID);
    for (int event : events) {
      ReceivingRegionReport report =
          report(event % 4, event % 7 / 100.0, event % 11 / 10.0, event % 5 / 4.0);
      long heldNanos = event % 3 * STEP_NANOS;
      MoveState next =
          switch (decide(state, heldNanos, report)) {
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

  private static MoveDecision decide(
      MoveState state, long heldNanos, ReceivingRegionReport report) {
    return MoveStepPolicy.decide(MOVE, state, heldNanos, Optional.of(report));
  }

  private static ReceivingRegionReport report(
      double slowdown, double errors, double used, double warmth) {
    return new ReceivingRegionReport(0, 1_000, slowdown, errors, used, warmth);
  }

  private static MoveDecision hold(GateReason reason) {
    return new MoveDecision.Hold(reason);
  }

  private static MoveDecision stepBack(GateReason reason) {
    return new MoveDecision.StepBack(AFTER_TWO_STEPS.stepBack(), reason);
  }
}
