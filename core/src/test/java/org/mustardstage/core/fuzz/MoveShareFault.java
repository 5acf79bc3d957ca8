package org.mustardstage.core.fuzz;

/** Faults seeded into the use of share counters. */
enum MoveShareFault {
  /** No fault. */
  NONE,
  /** Sends retries to the receiving place without asking. */
  RETRIES_NOT_LIMITED,
  /** Lets a step go above the cap. */
  CAP_EXCEEDED
}
