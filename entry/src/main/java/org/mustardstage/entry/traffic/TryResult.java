package org.mustardstage.entry.traffic;

import org.mustardstage.core.outcome.AttemptFailure;

/** The end of one try at an endpoint, as far as it is known when the head of an answer is in. */
sealed interface TryResult {
  /**
   * The endpoint answered. A streamed body may still break.
   *
   * @param answer the answer
   */
  record Answer(EndpointAnswer answer) implements TryResult {}

  /**
   * No answer that could be passed on.
   *
   * @param end what is known instead
   */
  record NoAnswer(AttemptFailure end) implements TryResult {}
}
