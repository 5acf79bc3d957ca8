package org.mustardstage.core.outcome;

/** What the home of an idempotency key says to a request that carries it. */
public sealed interface KeyClaim {
  /** The request is the first, or the earlier ones did not run: it may run now. */
  record Run() implements KeyClaim {}

  /** A request with the same key is running: wait for its end. */
  record Wait() implements KeyClaim {}

  /**
   * An earlier request with the same key has ended.
   *
   * @param end how it ended
   */
  record Replay(KeyedOutcome outcome) implements KeyClaim {}

  /** The key is older than the memory: whether it ran is not known. */
  record Forgotten() implements KeyClaim {}

  /** The memory is full of running requests: the request must not run. */
  record Full() implements KeyClaim {}

  /** The key was used for a different request: the request must not run. */
  record Reused() implements KeyClaim {}
}
