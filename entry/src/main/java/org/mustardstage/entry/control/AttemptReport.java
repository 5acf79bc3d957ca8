package org.mustardstage.entry.control;

import java.util.Optional;
import java.util.OptionalDouble;

/**
 * The result of an admitted attempt, as a traffic thread reports it to the control thread.
 *
 * @param result what happened to the request at the endpoint
 * @param latencyNanos the time from sending the request to its end
 * @param utilization the share of its slots in use that the endpoint reported, if it reported one
 * @param draining whether the endpoint reported that it is draining, if it reported either
 */
public record AttemptReport(
    Result result, long latencyNanos, OptionalDouble utilization, Optional<Boolean> draining) {
  /** What happened to the request at the endpoint. */
  public enum Result {
    /** A complete response arrived: the slot is free. */
    ANSWERED,
    /** The endpoint rejected it before it ran: the slot is free. */
    REFUSED,
    /** It was never sent: the slot is free. */
    NEVER_SENT,
    /** The endpoint confirmed that it is not running: the slot is free. */
    CANCELLED,
    /** Its result is unknown: the slot may be in use until the deadline. */
    UNKNOWN;

    /** Returns whether the endpoint's slot is certain to be free. */
    public boolean slotIsFree() {
      return this != UNKNOWN;
    }
  }
}
