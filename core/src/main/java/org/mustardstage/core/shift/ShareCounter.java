package org.mustardstage.core.shift;

import com.google.common.base.Preconditions;

/**
 * Decides which requests of one entry VM are moved. At every moment the attempts moved, retries and
 * hedges included, are at most {@code floor(cap * first attempts)}; a sum of such counters keeps
 * the cap too. Moved requests are spread evenly among the others.
 */
public final class ShareCounter {
  private static final long WHOLE_PARTS = 1_000_000;

  private final long capParts;
  private long stepParts;
  private long stepTotal;
  private long stepMoved;
  private long total;
  private long moved;

  /** Creates a counter that moves nothing yet and never more than {@code capShare}. */
  public ShareCounter(double capShare) {
    this.capParts = toParts(capShare);
  }

  /**
   * Moves {@code share} of the requests from now on, or the cap when that is less. Requests that
   * were not moved earlier are not made up for.
   */
  public void setShare(double share) {
    stepParts = Math.min(capParts, toParts(share));
    stepTotal = 0;
    stepMoved = 0;
  }

  /** Counts a first attempt and returns whether it is moved. */
  public boolean moveFirstAttempt() {
    total++;
    stepTotal++;
    return tryMove();
  }

  /** Returns whether a retry or a hedge may go to the receiving place, and if so counts it. */
  public boolean moveFurtherAttempt() {
    return tryMove();
  }

  /** Returns the first attempts counted. */
  public long total() {
    return total;
  }

  /** Returns the attempts moved. */
  public long moved() {
    return moved;
  }

  private boolean tryMove() {
    if (stepMoved >= wholeRequests(stepParts, stepTotal)) {
      return false;
    }
    stepMoved++;
    moved++;
    return true;
  }

  private static long wholeRequests(long parts, long requests) {
    long thousands = requests / WHOLE_PARTS;
    long rest = requests % WHOLE_PARTS;
    return thousands * parts + rest * parts / WHOLE_PARTS;
  }

  private static long toParts(double share) {
    Preconditions.checkArgument(share >= 0 && share <= 1, "share must be from 0 to 1");
    return (long) Math.floor(share * WHOLE_PARTS + 1e-6);
  }
}
