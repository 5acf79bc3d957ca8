package org.mustardstage.standins.endpoint;

/** How a run ended. */
enum RunResult {
  /** The request ran to completion. */
  COMPLETED,
  /** The run was cancelled. */
  CANCELLED,
  /** The deadline passed during the run. */
  EXPIRED
}
