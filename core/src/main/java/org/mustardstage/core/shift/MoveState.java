package org.mustardstage.core.shift;

import com.google.common.base.Preconditions;
import org.mustardstage.core.id.MoveId;
import org.mustardstage.core.manifest.PlannedMove;

/**
 * How far a move is. It is kept outside the process that drives the move, so that another one can
 * go on; a process that takes over counts the time of the step anew.
 *
 * @param move the move
 * @param revision grows with each change; an older state never replaces a newer one
 * @param step the steps taken, from 0 to the number of steps of the move
 * @param recentStepsBack the steps back that no later step forward has made up for
 */
public record MoveState(MoveId move, long revision, int step, int recentStepsBack) {
  /** Checks that the counts are not negative. */
  public MoveState {
    Preconditions.checkArgument(revision >= 0, "revision must not be negative");
    Preconditions.checkArgument(step >= 0, "step must not be negative");
    Preconditions.checkArgument(recentStepsBack >= 0, "steps back must not be negative");
  }

  /** Returns the state of a move that has not begun. */
  public static MoveState initial(MoveId move) {
    return new MoveState(move, 0, 0, 0);
  }

  /** Returns the share of traffic that {@code planned} moves in this state. */
  public double share(PlannedMove planned) {
    int taken = Math.min(step, planned.steps());
    return planned.capShare() * taken / planned.steps();
  }

  /** Returns whichever of both states is newer. */
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
