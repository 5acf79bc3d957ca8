package org.mustardstage.core.shift;

/** The reason why a planned move holds or steps back. */
public enum GateReason {
  /** The minimum time between two steps has not passed. */
  STEP_TIME,
  /** There is no recent report of the receiving region. */
  NO_REPORT,
  /** The receiving region handles too few requests to judge it. */
  FEW_REQUESTS,
  /** The latency of the receiving region is higher than before the move. */
  LATENCY,
  /** Too many requests fail in the receiving region. */
  ERRORS,
  /** Too many slots of the receiving region are in use. */
  CAPACITY,
  /** The caches of the receiving region are cold. */
  COLD_CACHE,
  /** All steps are taken. */
  COMPLETE
}
