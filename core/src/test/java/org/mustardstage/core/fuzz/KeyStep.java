package org.mustardstage.core.fuzz;

/** What may happen to requests with idempotency keys. Keys are named by their index. */
sealed interface KeyStep {
  /** How a try at an endpoint ends. */
  enum AttemptResult {
    /** It ran and its answer arrived. */
    ANSWERED,
    /** It ran and its answer was lost. */
    ANSWER_LOST,
    /** The endpoint refused it before it ran. */
    REFUSED,
    /** It never reached the endpoint, which the sender can't know. */
    SILENT
  }

  /** A caller sends or repeats the request of a key. */
  record SendRequest(int key) implements KeyStep {}

  /** The try under way for a key ends. */
  record FinishAttempt(int key, AttemptResult result) implements KeyStep {}

  /** A new key takes the place of an old one. */
  record ReplaceKey(int key, boolean isIdempotent) implements KeyStep {}

  /** Epochs pass. */
  record AdvanceEpochs(int epochs) implements KeyStep {}

  /** The home of the keys is replaced by another incarnation. */
  record RestartHome() implements KeyStep {}
}
