package org.mustardstage.core.shift;

import java.util.Optional;
import org.mustardstage.core.manifest.PlannedMove;

/**
 * Decides the next step of a planned move from the manifest, the state of the move and the report
 * of the receiving place alone, so that any entry VM can drive it.
 */
public final class MovePlan {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final int MAX_DOUBLINGS = 2;
  private static final long MIN_BETWEEN_STEPS_BACK_NANOS = 1_000_000_000L;

  private MovePlan() {}

  /**
   * Returns what happens next.
   *
   * @param heldNanos how long the deciding process has seen {@code state} unchanged
   * @param report how the receiving place does, empty when nothing is known
   */
  public static MoveDecision next(
      PlannedMove move, MoveState state, long heldNanos, Optional<PlaceReport> report) {
    if (report.isEmpty()) {
      return new MoveDecision.Hold(GateReason.NO_REPORT);
    }
    Optional<GateReason> backReason = MoveGate.stepsBack(state.step(), report.get());
    if (backReason.isPresent()) {
      return stepBack(state, heldNanos, backReason.get());
    }
    return forwardOrHold(move, state, heldNanos, report.get());
  }

  /** Returns how long a state is held at least; it doubles with each recent step back. */
  public static long minHoldNanos(PlannedMove move, MoveState state) {
    int doublings = Math.min(state.recentStepsBack(), MAX_DOUBLINGS);
    return (move.stepMillis() * NANOS_PER_MILLI) << doublings;
  }

  private static MoveDecision stepBack(MoveState state, long heldNanos, GateReason reason) {
    return heldNanos < MIN_BETWEEN_STEPS_BACK_NANOS
        ? new MoveDecision.Hold(reason)
        : new MoveDecision.StepBack(state.back(), reason);
  }

  private static MoveDecision forwardOrHold(
      PlannedMove move, MoveState state, long heldNanos, PlaceReport report) {
    if (state.step() >= move.steps()) {
      return new MoveDecision.Hold(GateReason.COMPLETE);
    }
    if (heldNanos < minHoldNanos(move, state)) {
      return new MoveDecision.Hold(GateReason.STEP_TIME);
    }
    return MoveGate.holds(state.step(), report)
        .<MoveDecision>map(MoveDecision.Hold::new)
        .orElseGet(() -> new MoveDecision.StepForward(state.forward()));
  }
}
