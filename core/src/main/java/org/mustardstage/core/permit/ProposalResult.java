package org.mustardstage.core.permit;

/** How a conditional write of the ownership row ended. */
public enum ProposalResult {
  /** The row was written. */
  COMMITTED,
  /** The row had another revision and was not written. */
  CONDITION_FAILED,
  /** The store could not be reached; the row was surely not written. */
  UNAVAILABLE,
  /** The answer was lost; the row may or may not have been written, or may yet be. */
  OUTCOME_UNKNOWN
}
