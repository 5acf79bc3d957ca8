package org.mustardstage.core.permit;

/** The result of a conditional write of the ownership row. */
public enum ProposalResult {
  /** The row was written. */
  COMMITTED,
  /** The row had another revision and was not written. */
  CONDITION_FAILED,
  /** The store was unreachable; the row was surely not written. */
  UNAVAILABLE,
  /** The response was lost; the row may have been written, or may still be written later. */
  OUTCOME_UNKNOWN
}
