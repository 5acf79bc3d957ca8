package org.mustardstage.core.permit;

/** Why no permit was granted. */
public enum PermitRejectionReason {
  /** None of the limits is in the manifest in force. */
  UNKNOWN_LIMIT,
  /** The deadline is already past. */
  DEADLINE_PASSED,
  /** No permit became free before the request gave up. */
  WAIT_TIMEOUT,
  /** Too many requests wait. */
  QUEUE_FULL,
  /** A request of the same id waits or holds a permit. */
  DUPLICATE_REQUEST,
  /** The process is stopping. */
  STOPPING
}
