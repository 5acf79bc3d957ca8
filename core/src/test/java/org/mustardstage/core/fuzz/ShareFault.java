package org.mustardstage.core.fuzz;

/** Faults seeded into the use of share counters. */
enum ShareFault {
  /** No fault. */
  NONE,
  /** Sends retries to the receiving place without asking. */
  FORGET_RETRY,
  /** Lets a step go above the cap. */
  STEP_ABOVE_CAP
}
