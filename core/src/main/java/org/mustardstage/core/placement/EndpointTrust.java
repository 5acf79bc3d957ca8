package org.mustardstage.core.placement;

/**
 * Whether an endpoint may be sent work, judged by how its last requests ended.
 *
 * <p>An endpoint that can't be reached or stays silent gets nothing for a while that doubles each
 * time, then one request at a time until one is answered. An endpoint that fails or refuses a part
 * of its requests stays in use; its share of bad ends makes it less attractive.
 */
final class EndpointTrust {
  private static final long FIRST_PAUSE_NANOS = 250_000_000L;
  private static final long LONGEST_PAUSE_NANOS = 2_000_000_000L;

  /** The weight of one end; about the last eight decide. */
  private static final double SAMPLE_WEIGHT = 0.125;

  /** From this share of bad ends on, the endpoint is paused as if it were silent. */
  private static final double PAUSE_FROM_BAD_SHARE = 0.8;

  private double badShare;
  private long pausedUntilNanos;
  private long pauseNanos;
  private boolean onTrial;
  private boolean trialRuns;
  private boolean wasAway;

  /** Returns whether a request may be sent now. */
  boolean allows(long nowNanos) {
    if (!onTrial) {
      return true;
    }
    return nowNanos - pausedUntilNanos >= 0 && !trialRuns;
  }

  /** Returns the share of the last requests that ended badly. */
  double badShare() {
    return badShare;
  }

  /** Notes that a request was sent. */
  void onSent() {
    if (onTrial) {
      trialRuns = true;
    }
  }

  /** Takes in how a request ended; returns whether the endpoint is back after it was away. */
  boolean onEnd(long nowNanos, AttemptResult.Status result) {
    return switch (result) {
      case ANSWERED -> onGood();
      case FAILED, REFUSED, SPOILED -> {
        onBad(nowNanos, result);
        yield false;
      }
      case UNREACHABLE, SILENT, MISDIRECTED -> {
        wasAway |= result != AttemptResult.Status.SILENT;
        badShare += SAMPLE_WEIGHT * (1 - badShare);
        pause(nowNanos);
        yield false;
      }
      case ABANDONED -> {
        trialRuns = false;
        yield false;
      }
    };
  }

  private boolean onGood() {
    boolean back = onTrial && wasAway;
    badShare -= SAMPLE_WEIGHT * badShare;
    onTrial = false;
    trialRuns = false;
    wasAway = false;
    pauseNanos = 0;
    return back;
  }

  private void onBad(long nowNanos, AttemptResult.Status result) {
    badShare += SAMPLE_WEIGHT * (1 - badShare);
    if (onTrial && result == AttemptResult.Status.REFUSED) {
      pause(nowNanos);
      return;
    }
    if (badShare > PAUSE_FROM_BAD_SHARE) {
      pause(nowNanos);
      return;
    }
    trialRuns = false;
  }

  private void pause(long nowNanos) {
    boolean alreadyPaused = onTrial && nowNanos - pausedUntilNanos < 0;
    onTrial = true;
    trialRuns = false;
    if (alreadyPaused) {
      return;
    }
    pauseNanos =
        pauseNanos == 0 ? FIRST_PAUSE_NANOS : Math.min(LONGEST_PAUSE_NANOS, 2 * pauseNanos);
    pausedUntilNanos = nowNanos + pauseNanos;
  }
}
