package org.mustardstage.core.shift;

/** What keeps a move from its next step. */
public enum GateReason {
  /** The time between two steps has not passed. */
  STEP_TIME,
  /** There is no recent report of the receiving place. */
  NO_REPORT,
  /** The receiving place answers too few requests to judge it by. */
  FEW_REQUESTS,
  /** The receiving place is slower than before the move. */
  LATENCY,
  /** Too many requests fail at the receiving place. */
  ERRORS,
  /** Too many slots of the receiving place are in use. */
  CAPACITY,
  /** The caches of the receiving place are cold. */
  COLD_CACHE,
  /** All steps are taken. */
  COMPLETE
}
