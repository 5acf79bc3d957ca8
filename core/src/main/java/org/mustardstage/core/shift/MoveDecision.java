package org.mustardstage.core.shift;

/** What happens to a move next. */
public sealed interface MoveDecision {
  /** The move stays as it is. */
  record Hold(GateReason reason) implements MoveDecision {}

  /** The move takes one step; {@code next} is written before any traffic follows it. */
  record StepForward(MoveState next) implements MoveDecision {}

  /** The move gives one step up; traffic follows at once. */
  record StepBack(MoveState next, GateReason reason) implements MoveDecision {}
}
