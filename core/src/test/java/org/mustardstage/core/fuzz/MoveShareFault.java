package org.mustardstage.core.fuzz;

/** Faults seeded into the use of {@code MoveShareLimiter}, which the fuzzer must find. */
enum MoveShareFault {
  /** No fault. */
  NONE,
  /** Sends retries and hedges to the receiving region without consulting the limiter. */
  RETRIES_NOT_LIMITED,
  /** Creates limiters with a cap above the planned one. */
  CAP_EXCEEDED
}
