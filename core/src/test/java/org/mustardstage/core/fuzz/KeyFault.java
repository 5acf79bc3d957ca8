package org.mustardstage.core.fuzz;

/** Faults seeded into the handling of idempotency keys and retries, which the fuzzer must find. */
enum KeyFault {
  /** No fault. */
  NONE,
  /** Runs a request although another with the same key is running. */
  RUN_CONCURRENTLY,
  /** Runs a request again although the outcome of its key is stored. */
  RUN_COMPLETED_KEY,
  /** Runs a request whose key may have been forgotten. */
  RUN_FORGOTTEN_KEY,
  /** Treats a request whose response was lost as not run. */
  LOST_RESPONSE_AS_NOT_RUN,
  /** Retries every request as if it were idempotent. */
  RETRY_AS_IDEMPOTENT,
  /** Decides on a retry without the results of earlier attempts. */
  IGNORE_EARLIER_ATTEMPTS,
  /** Lets a restarted VM treat keys of its earlier incarnation as its own. */
  IGNORE_INCARNATION_OF_HOME
}
