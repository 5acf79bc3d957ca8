package org.mustardstage.core.shift;

import com.google.common.base.Preconditions;

/**
 * Decides which requests of one entry VM are moved. At every moment the attempts moved, retries and
 * hedges included, are at most {@code floor(cap * first attempts)}; a sum of such counters keeps
 * the cap too. Moved requests are spread evenly among the others.
 */
public final class MoveShareLimiter {
  private static final long MILLIONTHS_PER_WHOLE = 1_000_000;

  private final long capMillionths;
  private long shareMillionths;
  private long firstAttemptsAtShare;
  private long movedAtShare;
  private long firstAttempts;
  private long moved;

  /** Creates a counter that moves nothing yet and never more than {@code capShare}. */
  public MoveShareLimiter(double capShare) {
    this.capMillionths = toMillionths(capShare);
  }

  /**
   * Moves {@code share} of the requests from now on, or the cap when that is less. Requests that
   * were not moved earlier are not made up for.
   */
  public void setShare(double share) {
    shareMillionths = Math.min(capMillionths, toMillionths(share));
    firstAttemptsAtShare = 0;
    movedAtShare = 0;
  }

  /** Counts a first attempt and returns whether it is moved. */
  public boolean moveFirstAttempt() {
    firstAttempts++;
    firstAttemptsAtShare++;
    return tryMove();
  }

  /** Returns whether a retry or a hedge may go to the receiving place, and if so counts it. */
  public boolean moveRetryOrHedge() {
    return tryMove();
  }

  /** Returns the first attempts counted. */
  public long firstAttempts() {
    return firstAttempts;
  }

  /** Returns the attempts moved. */
  public long moved() {
    return moved;
  }

  private boolean tryMove() {
    if (movedAtShare >= fractionOf(shareMillionths, firstAttemptsAtShare)) {
      return false;
    }
    movedAtShare++;
    moved++;
    return true;
  }

  private static long fractionOf(long parts, long requests) {
    long thousands = requests / MILLIONTHS_PER_WHOLE;
    long rest = requests % MILLIONTHS_PER_WHOLE;
    return thousands * parts + rest * parts / MILLIONTHS_PER_WHOLE;
  }

  private static long toMillionths(double share) {
    Preconditions.checkArgument(share >= 0 && share <= 1, "share must be from 0 to 1");
    return (long) Math.floor(share * MILLIONTHS_PER_WHOLE + 1e-6);
  }
}
