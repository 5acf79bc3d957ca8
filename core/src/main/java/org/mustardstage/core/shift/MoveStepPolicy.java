package org.mustardstage.core.shift;

import java.util.Optional;
import org.mustardstage.core.manifest.PlannedMove;

/**
 * Decides the next step of a planned move from nothing but the manifest, the state of the move and
 * the report of the receiving region, so that any entry VM can take over the move.
 */
public final class MoveStepPolicy {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final int MAX_HOLD_DOUBLINGS = 2;
  private static final long MIN_BETWEEN_STEPS_BACK_NANOS = 1_000_000_000L;

  private MoveStepPolicy() {}

  /**
   * Returns the next change of {@code move}.
   *
   * @param heldNanos how long the deciding process has seen {@code state} unchanged
   * @param report the state of the receiving region; empty if none is known
   */
  public static MoveDecision decide(
      PlannedMove move, MoveState state, long heldNanos, Optional<ReceivingRegionReport> report) {
    if (report.isEmpty()) {
      return new MoveDecision.Hold(GateReason.NO_REPORT);
    }
    Optional<GateReason> stepBackReason = MoveGate.findStepBackReason(state.step(), report.get());
    if (stepBackReason.isPresent()) {
      return stepBack(state, heldNanos, stepBackReason.get());
    }
    return forwardOrHold(move, state, heldNanos, report.get());
  }

  /**
   * Returns how long a state is held at least. The time doubles with each recent step back, up to a
   * limit.
   */
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
