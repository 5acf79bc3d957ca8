package org.mustardstage.core.placement;

/**
 * Whether an endpoint may be sent work, judged by how its last requests ended.
 *
 * <p>An endpoint that can't be reached or stays silent gets nothing for a while that doubles each
 * time, then one request at a time until one is answered. An endpoint that fails or refuses a part
 * of its requests stays in use; its share of bad ends makes it less attractive.
 */
final class EndpointCircuitBreaker {
  private static final long MIN_OPEN_NANOS = 250_000_000L;
  private static final long MAX_OPEN_NANOS = 2_000_000_000L;

  /** The weight of one end; about the last eight decide. */
  private static final double SMOOTHING_FACTOR = 0.125;

  /** From this share of bad ends on, the endpoint is paused as if it were silent. */
  private static final double OPEN_FAILURE_RATE = 0.8;

  private double failureRate;
  private long openUntilNanos;
  private long openNanos;
  private boolean tripped;
  private boolean probeInFlight;
  private boolean wasUnreachable;

  /** Returns whether a request may be sent now. */
  boolean allowsRequest(long nowNanos) {
    if (!tripped) {
      return true;
    }
    return nowNanos - openUntilNanos >= 0 && !probeInFlight;
  }

  /** Returns the share of the last requests that ended badly. */
  double failureRate() {
    return failureRate;
  }

  /** Notes that a request was sent. */
  void recordSent() {
    if (tripped) {
      probeInFlight = true;
    }
  }

  /** Takes in how a request ended; returns whether the endpoint is back after it was away. */
  boolean recordResult(long nowNanos, AttemptResult.Status result) {
    return switch (result) {
      case ANSWERED -> recordSuccess();
      case FAILED, REFUSED, SPOILED -> {
        recordFailure(nowNanos, result);
        yield false;
      }
      case UNREACHABLE, SILENT, MISDIRECTED -> {
        wasUnreachable |= result != AttemptResult.Status.SILENT;
        failureRate += SMOOTHING_FACTOR * (1 - failureRate);
        open(nowNanos);
        yield false;
      }
      case ABANDONED -> {
        probeInFlight = false;
        yield false;
      }
    };
  }

  private boolean recordSuccess() {
    boolean back = tripped && wasUnreachable;
    failureRate -= SMOOTHING_FACTOR * failureRate;
    tripped = false;
    probeInFlight = false;
    wasUnreachable = false;
    openNanos = 0;
    return back;
  }

  private void recordFailure(long nowNanos, AttemptResult.Status result) {
    failureRate += SMOOTHING_FACTOR * (1 - failureRate);
    if (tripped && result == AttemptResult.Status.REFUSED) {
      open(nowNanos);
      return;
    }
    if (failureRate > OPEN_FAILURE_RATE) {
      open(nowNanos);
      return;
    }
    probeInFlight = false;
  }

  private void open(long nowNanos) {
    boolean alreadyPaused = tripped && nowNanos - openUntilNanos < 0;
    tripped = true;
    probeInFlight = false;
    if (alreadyPaused) {
      return;
    }
    openNanos =
        openNanos == 0 ? MIN_OPEN_NANOS : Math.min(MAX_OPEN_NANOS, 2 * openNanos);
    openUntilNanos = nowNanos + openNanos;
  }
}
