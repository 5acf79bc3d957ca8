package org.mustardstage.core.outcome;

/** How a request with an idempotency key ended, as far as its home remembers. */
public sealed interface KeyedOutcome {
  /**
   * It was answered, and the answer is kept.
   *
   * @param answer the whole answer
   */
  record Stored(StoredResponse response) implements KeyedOutcome {}

  /** It was answered, and the answer was too large to keep. */
  record NotStored() implements KeyedOutcome {}

  /**
   * It did not run; it may be run again under the same key.
   *
   * @param outcome what its caller is told
   */
  record DidNotRun(Outcome.NotRun outcome) implements KeyedOutcome {}

  /**
   * Its end is not known; it is never run again.
   *
   * @param cause why
   */
  record Unknown(UnknownOutcomeCause cause) implements KeyedOutcome {}
}
