package org.mustardstage.core.outcome;

/** What to do after an attempt that ended without a complete response. */
public sealed interface RetryDecision {
  /** The request is retried, at another endpoint if there is one. */
  record Retry() implements RetryDecision {}

  /**
   * The request has ended, and its caller gets a response now.
   *
   * @param outcome the outcome sent to the caller
   */
  record Finish(Outcome outcome) implements RetryDecision {}
}
