package org.mustardstage.core.placement;

/** Why a request was turned away before it was sent to an endpoint. */
public enum RejectionReason {
  /** No endpoint of the service may be used. */
  NO_ENDPOINT,
  /** All slots are taken, and the wait would use up the latency objective. */
  NO_SLOT_IN_TIME,
  /** The time that is left is shorter than the work takes. */
  DEADLINE_TOO_SHORT,
  /** The service's allowance for sending requests again is used up. */
  REPEATS_SPENT
}
