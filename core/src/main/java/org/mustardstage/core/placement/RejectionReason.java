package org.mustardstage.core.placement;

/** Why a request was rejected before it was sent to an endpoint. */
public enum RejectionReason {
  /** No endpoint of the service may receive the request. */
  NO_ENDPOINT,
  /** All slots are in use, and the wait for one would exceed the latency objective. */
  NO_SLOT_IN_TIME,
  /** The time to the deadline is shorter than the service time. */
  DEADLINE_TOO_SHORT,
  /** The retry budget of the service is spent. */
  REPEATS_SPENT,
  /** The active configuration no longer declares the service. */
  SERVICE_REMOVED
}
