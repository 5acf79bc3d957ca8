package org.mustardstage.core.fuzz;

/** A step that may happen to requests with idempotency keys. Keys are identified by index. */
sealed interface KeyStep {
  /** The result of an attempt at an endpoint. */
  enum AttemptResult {
    /** It ran and its response arrived. */
    ANSWERED,
    /** It ran and its response was lost. */
    ANSWER_LOST,
    /** The endpoint rejected it before it ran. */
    REFUSED,
    /** It never reached the endpoint, which the sender can't know. */
    SILENT
  }

  /** A caller sends or retries the request of a key. */
  record SendRequest(int key) implements KeyStep {}

  /** The running attempt of a key ends. */
  record FinishAttempt(int key, AttemptResult result) implements KeyStep {}

  /** A new key replaces an old one. */
  record ReplaceKey(int key, boolean isIdempotent) implements KeyStep {}

  /** Epochs pass. */
  record AdvanceEpochs(int epochs) implements KeyStep {}

  /** The home VM of the keys is restarted as another incarnation. */
  record RestartHome() implements KeyStep {}
}
