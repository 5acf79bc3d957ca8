package org.mustardstage.core.shift;

import com.google.common.base.Preconditions;
import org.mustardstage.core.id.MoveId;
import org.mustardstage.core.manifest.PlannedMove;

/**
 * The progress of a planned move. It is stored outside the process that drives the move, so that
 * another process can take over; that process restarts the hold time of the current step.
 *
 * @param move the move
 * @param revision a number that grows with each change; an older state never replaces a newer one
 * @param step the number of steps taken, from 0 to the number of steps of the move
 * @param recentStepsBack the number of steps back that no later step forward has compensated
 */
public record MoveState(MoveId move, long revision, int step, int recentStepsBack) {
  /** Checks that the counts are not negative. */
  public MoveState {
    Preconditions.checkArgument(revision >= 0, "revision must not be negative, found %s", revision);
    Preconditions.checkArgument(step >= 0, "step must not be negative, found %s", step);
    Preconditions.checkArgument(
        recentStepsBack >= 0, "recentStepsBack must not be negative, found %s", recentStepsBack);
  }

  /** Returns the state of a move that has not started. */
  public static MoveState initial(MoveId move) {
    return new MoveState(move, 0, 0, 0);
  }

  /**
   * Returns the share of traffic that {@code planned} moves in this state. It never exceeds the
   * cap, even if a newer manifest has fewer steps.
   */
  public double share(PlannedMove planned) {
    int stepsTaken = Math.min(step, planned.steps());
    return planned.capShare() * stepsTaken / planned.steps();
  }

  /** Returns the newer of both states. */
  public MoveState newerOf(MoveState other) {
    return other.revision > revision ? other : this;
  }

  MoveState stepForward() {
    return new MoveState(move, revision + 1, step + 1, Math.max(0, recentStepsBack - 1));
  }

  MoveState stepBack() {
    return new MoveState(move, revision + 1, step - 1, recentStepsBack + 1);
  }
}
