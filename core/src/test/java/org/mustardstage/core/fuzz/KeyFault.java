package org.mustardstage.core.fuzz;

/** Faults seeded into the handling of idempotency keys and retries. */
enum KeyFault {
  /** No fault. */
  NONE,
  /** Runs a request although another with its key is running. */
  RUN_CONCURRENTLY,
  /** Runs a request whose earlier end is remembered. */
  RUN_COMPLETED_KEY,
  /** Runs a request whose key may have been forgotten. */
  RUN_FORGOTTEN_KEY,
  /** Takes a lost answer for a request that did not run. */
  LOST_RESPONSE_AS_NOT_RUN,
  /** Tries a request again as if it were idempotent. */
  RETRY_AS_IDEMPOTENT,
  /** Decides on a retry without the earlier tries. */
  IGNORE_EARLIER_ATTEMPTS,
  /** A restarted VM takes keys of its earlier incarnation for its own. */
  IGNORE_INCARNATION_OF_HOME
}
