package org.mustardstage.entry.control;

import java.util.Optional;
import java.util.OptionalDouble;

/**
 * How a use of a permit ended.
 *
 * @param result what became of the request
 * @param latencyNanos the time from sending the request to its end
 * @param loadShare the share of its slots in use that the endpoint reported, if it did
 * @param draining whether the endpoint said that it is leaving, if it said anything
 */
public record AttemptReport(
    Result result, long latencyNanos, OptionalDouble utilization, Optional<Boolean> draining) {
  /** What became of the request at the endpoint. */
  public enum Result {
    /** A whole answer arrived: the slot is free. */
    ANSWERED,
    /** The endpoint refused it before it ran: the slot is free. */
    REFUSED,
    /** It was never sent: the slot is free. */
    NEVER_SENT,
    /** The endpoint confirmed that it runs no more: the slot is free. */
    CANCELLED,
    /** Its end is not known: the slot may be in use until the deadline. */
    UNKNOWN;

    /** Returns whether the slot of the endpoint is surely free. */
    public boolean slotIsFree() {
      return this != UNKNOWN;
    }
  }
}
