package org.mustardstage.core.placement;

/**
 * Decides from the results of recent attempts whether an endpoint may receive requests.
 *
 * <p>The circuit opens when the endpoint can't be reached or doesn't respond in time, for a
 * duration that doubles each time. It is then half-open and allows one probe request at a time
 * until one succeeds. A probe without a result is given up after a time, so that the endpoint is
 * tried again in any case. An endpoint that fails or rejects only some of its requests stays in
 * use; its failure rate makes the scheduler prefer others.
 */
final class EndpointCircuitBreaker {
  private static final long MIN_OPEN_NANOS = 250_000_000L;
  private static final long MAX_OPEN_NANOS = 2_000_000_000L;

  /** How long a probe may take before another one is sent. Most requests take less. */
  private static final long MAX_PROBE_NANOS = 10_000_000_000L;

  /** Smoothing factor of the failure rate; about the last eight attempts determine it. */
  private static final double SMOOTHING_FACTOR = 0.125;

  /** Above this failure rate the circuit opens, although the endpoint responds. */
  private static final double OPEN_FAILURE_RATE = 0.8;

  private double failureRate;
  private long openUntilNanos;
  private long openDurationNanos;

  /** Whether the circuit is open or half-open. */
  private boolean tripped;

  private boolean probeInFlight;
  private long probeSentNanos;
  private boolean wasUnreachable;

  /** Returns whether a request may be sent now. */
  boolean allowsRequest(long nowNanos) {
    if (!tripped) {
      return true;
    }
    boolean probing = probeInFlight && nowNanos - probeSentNanos < MAX_PROBE_NANOS;
    return nowNanos - openUntilNanos >= 0 && !probing;
  }

  /** Returns the exponential moving average of failed attempts, from 0 to 1. */
  double failureRate() {
    return failureRate;
  }

  /** Closes the circuit, as what opened it was not the endpoint's fault. */
  void reset() {
    failureRate = 0;
    tripped = false;
    probeInFlight = false;
    wasUnreachable = false;
    openDurationNanos = 0;
  }

  /** Records that a request was sent, which is a probe if the circuit is half-open. */
  void recordSent(long nowNanos) {
    if (tripped) {
      probeInFlight = true;
      probeSentNanos = nowNanos;
    }
  }

  /**
   * Updates the circuit from the result of an attempt.
   *
   * @return whether the endpoint has recovered after it was unreachable or another endpoint had its
   *     address
   */
  boolean recordResult(long nowNanos, AttemptResult.Status status) {
    return switch (status) {
      case ANSWERED -> recordSuccess();
      case FAILED, REFUSED, SPOILED -> {
        recordFailure(nowNanos, status);
        yield false;
      }
      case UNREACHABLE, SILENT, MISDIRECTED -> {
        wasUnreachable |= status != AttemptResult.Status.SILENT;
        failureRate += SMOOTHING_FACTOR * (1 - failureRate);
        open(nowNanos);
        yield false;
      }
      case OVERTAKEN, ABANDONED -> {
        probeInFlight = false;
        yield false;
      }
    };
  }

  private boolean recordSuccess() {
    boolean recovered = tripped && wasUnreachable;
    failureRate -= SMOOTHING_FACTOR * failureRate;
    tripped = false;
    probeInFlight = false;
    wasUnreachable = false;
    openDurationNanos = 0;
    return recovered;
  }

  private void recordFailure(long nowNanos, AttemptResult.Status status) {
    failureRate += SMOOTHING_FACTOR * (1 - failureRate);
    if (tripped && status == AttemptResult.Status.REFUSED) {
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
    boolean alreadyOpen = tripped && nowNanos - openUntilNanos < 0;
    tripped = true;
    probeInFlight = false;
    if (alreadyOpen) {
      return;
    }
    openDurationNanos =
        openDurationNanos == 0 ? MIN_OPEN_NANOS : Math.min(MAX_OPEN_NANOS, 2 * openDurationNanos);
    openUntilNanos = nowNanos + openDurationNanos;
  }
}
