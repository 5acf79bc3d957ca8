package org.mustardstage.standins.endpoint;

/** How a run ended. */
enum RunResult {
  /** It was done. */
  COMPLETED,
  /** It was cancelled. */
  CANCELLED,
  /** Its deadline passed. */
  EXPIRED
}
