package org.mustardstage.core.permit;

/** Why a request for a permit was rejected. */
public enum PermitRejectionReason {
  /** None of the limits has a permit in the active manifest. */
  UNKNOWN_LIMIT,
  /** The deadline has already passed. */
  DEADLINE_PASSED,
  /** No permit became available before the wait deadline. */
  WAIT_TIMEOUT,
  /** Too many requests are queued. */
  QUEUE_FULL,
  /** A request with the same id is queued or holds a permit. */
  DUPLICATE_REQUEST,
  /** This VM is stopping. */
  STOPPING
}
