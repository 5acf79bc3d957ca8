package org.mustardstage.core.outcome;

/** The outcome of a request with an idempotency key, as stored by the home of the key. */
public sealed interface KeyedOutcome {
  /**
   * An endpoint responded, and the response is stored.
   *
   * @param response the complete response
   */
  record Stored(StoredResponse response) implements KeyedOutcome {}

  /** An endpoint responded, and the response was too large to store. */
  record NotStored() implements KeyedOutcome {}

  /**
   * It did not run; a retry with the same key may run.
   *
   * @param outcome the outcome sent to its caller
   */
  record DidNotRun(Outcome.NotRun outcome) implements KeyedOutcome {}

  /**
   * It may have run; no retry with the same key runs.
   *
   * @param cause why the outcome is unknown
   */
  record Unknown(UnknownOutcomeCause cause) implements KeyedOutcome {}
}
