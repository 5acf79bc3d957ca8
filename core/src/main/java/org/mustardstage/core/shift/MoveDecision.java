package org.mustardstage.core.shift;

/** The next change of a planned move. */
public sealed interface MoveDecision {
  /** Keeps the current step. */
  record Hold(GateReason reason) implements MoveDecision {}

  /** Takes one step forward; {@code next} must be stored before any traffic follows it. */
  record StepForward(MoveState next) implements MoveDecision {}

  /** Takes one step back; traffic follows at once. */
  record StepBack(MoveState next, GateReason reason) implements MoveDecision {}
}
