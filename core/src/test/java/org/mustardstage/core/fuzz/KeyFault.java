package org.mustardstage.core.fuzz;

/** Faults seeded into the handling of idempotency keys and retries. */
enum KeyFault {
  /** No fault. */
  NONE,
  /** Runs a request although another with its key is running. */
  RUN_WHILE_RUNNING,
  /** Runs a request whose earlier end is remembered. */
  SECOND_RUN_ON_RETRY,
  /** Runs a request whose key may have been forgotten. */
  RUN_FORGOTTEN_KEY,
  /** Takes a lost answer for a request that did not run. */
  LOST_ANSWER_DID_NOT_RUN,
  /** Tries a request again as if it were idempotent. */
  RETRY_AS_IDEMPOTENT,
  /** Decides on a retry without the earlier tries. */
  FORGET_EARLIER_TRIES,
  /** A restarted VM takes keys of its earlier incarnation for its own. */
  HOME_IGNORES_INCARNATION
}
