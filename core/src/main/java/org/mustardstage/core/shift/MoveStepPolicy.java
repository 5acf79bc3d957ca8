package org.mustardstage.core.shift;

import java.util.Optional;
import org.mustardstage.core.manifest.PlannedMove;

/**
 * Decides the next step of a planned move from the manifest, the state of the move and the report
 * of the receiving place alone, so that any entry VM can drive it.
 */
public final class MoveStepPolicy {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final int MAX_HOLD_DOUBLINGS = 2;
  private static final long MIN_BETWEEN_STEPS_BACK_NANOS = 1_000_000_000L;

  private MoveStepPolicy() {}

  /**
   * Returns what happens next.
   *
   * @param heldNanos how long the deciding process has seen {@code state} unchanged
   * @param report how the receiving place does, empty when nothing is known
   */
  public static MoveDecision decide(
      PlannedMove move, MoveState state, long heldNanos, Optional<ReceivingRegionReport> report) {
    if (report.isEmpty()) {
      return new MoveDecision.Hold(GateReason.NO_REPORT);
    }
    Optional<GateReason> backReason = MoveGate.findStepBackReason(state.step(), report.get());
    if (backReason.isPresent()) {
      return stepBack(state, heldNanos, backReason.get());
    }
    return forwardOrHold(move, state, heldNanos, report.get());
  }

  /** Returns how long a state is held at least; it doubles with each recent step back. */
  public static long minHoldNanos(PlannedMove move, MoveState state) {
    int doublings = Math.min(state.recentStepsBack(), MAX_HOLD_DOUBLINGS);
    return (move.stepMillis() * NANOS_PER_MILLI) << doublings;
  }

  private static MoveDecision stepBack(MoveState state, long heldNanos, GateReason reason) {
    return heldNanos < MIN_BETWEEN_STEPS_BACK_NANOS
        ? new MoveDecision.Hold(reason)
        : new MoveDecision.StepBack(state.stepBack(), reason);
  }

  private static MoveDecision forwardOrHold(
      PlannedMove move, MoveState state, long heldNanos, ReceivingRegionReport report) {
    if (state.step() >= move.steps()) {
      return new MoveDecision.Hold(GateReason.COMPLETE);
    }
    if (heldNanos < minHoldNanos(move, state)) {
      return new MoveDecision.Hold(GateReason.STEP_TIME);
    }
    return MoveGate.findHoldReason(state.step(), report)
        .<MoveDecision>map(MoveDecision.Hold::new)
        .orElseGet(() -> new MoveDecision.StepForward(state.stepForward()));
  }
}
