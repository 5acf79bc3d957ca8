package org.mustardstage.entry.traffic;

import org.mustardstage.core.outcome.AttemptEnd;

/** The end of one try at an endpoint, as far as it is known when the head of an answer is in. */
sealed interface AttemptResult {
  /**
   * The endpoint answered. A streamed body may still break.
   *
   * @param answer the answer
   */
  record Responded(EndpointResponse response) implements AttemptResult {}

  /**
   * No answer that could be passed on.
   *
   * @param end what is known instead
   */
  record Failed(AttemptEnd failure) implements AttemptResult {}
}
