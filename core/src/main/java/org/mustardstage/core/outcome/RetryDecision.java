package org.mustardstage.core.outcome;

/** What follows on a try that ended without a whole answer. */
public sealed interface RetryDecision {
  /** The request is tried again, at another endpoint where there is one. */
  record Retry() implements RetryDecision {}

  /**
   * The caller is told now.
   *
   * @param outcome what it is told
   */
  record Finish(Outcome outcome) implements RetryDecision {}
}
