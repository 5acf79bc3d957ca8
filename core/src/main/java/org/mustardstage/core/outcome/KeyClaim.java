package org.mustardstage.core.outcome;

/** The decision of the home of an idempotency key about a request with that key. */
public sealed interface KeyClaim {
  /** The request may run: it is the first with this key, or the earlier ones did not run. */
  record Run() implements KeyClaim {}

  /** A request with the same key is running; this one waits for its outcome. */
  record Wait() implements KeyClaim {}

  /**
   * An earlier request with the same key has ended; its outcome is returned again.
   *
   * @param outcome how it ended
   */
  record Replay(KeyedOutcome outcome) implements KeyClaim {}

  /** The key may have been evicted: whether its request ran is unknown, so it must not run. */
  record Forgotten() implements KeyClaim {}

  /** The store is full of running requests: the request must not run. */
  record Full() implements KeyClaim {}

  /** The key was used for a different request: the request must not run. */
  record Reused() implements KeyClaim {}
}
