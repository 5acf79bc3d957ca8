package org.mustardstage.core.shift;

import com.google.common.base.Preconditions;

/**
 * Decides which requests of one entry VM go to the receiving region of a planned move. At any time
 * the number of moved attempts, including retries and hedges, is at most {@code floor(cap * first
 * attempts)}. As every VM keeps the cap by itself, all VMs together keep it too. Moved requests are
 * spread evenly among the others.
 */
public final class MoveShareLimiter {
  private static final long MILLIONTHS_PER_WHOLE = 1_000_000;

  private final long capMillionths;
  private long shareMillionths;
  private long firstAttemptsAtShare;
  private long movedAtShare;
  private long firstAttempts;
  private long moved;

  /**
   * Creates a limiter that moves nothing until a share is set, and never more than {@code
   * capShare}.
   */
  public MoveShareLimiter(double capShare) {
    this.capMillionths = toMillionths(capShare);
  }

  /**
   * Sets the share of requests to move from now on, limited by the cap. Earlier requests that were
   * not moved are not compensated.
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

  /** Returns whether a retry or hedge may go to the receiving region, and counts it if so. */
  public boolean moveRetryOrHedge() {
    return tryMove();
  }

  /** Returns the number of first attempts. */
  public long firstAttempts() {
    return firstAttempts;
  }

  /** Returns the number of moved attempts. */
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

  private static long fractionOf(long millionths, long requests) {
    long wholeMillions = requests / MILLIONTHS_PER_WHOLE;
    long remainder = requests % MILLIONTHS_PER_WHOLE;
    return wholeMillions * millionths + remainder * millionths / MILLIONTHS_PER_WHOLE;
  }

  private static long toMillionths(double share) {
    Preconditions.checkArgument(
        share >= 0 && share <= 1, "share must be from 0 to 1, found %s", share);
    return (long) Math.floor(share * MILLIONTHS_PER_WHOLE + 1e-6);
  }
}
