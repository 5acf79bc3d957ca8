package org.mustardstage.standins.endpoint;

/** How a run ended. */
enum RunEnd {
  /** It was done. */
  COMPLETED,
  /** It was cancelled. */
  CANCELLED,
  /** Its deadline passed. */
  EXPIRED
}
