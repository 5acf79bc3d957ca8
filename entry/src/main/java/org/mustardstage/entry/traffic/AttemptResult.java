package org.mustardstage.entry.traffic;

import org.mustardstage.core.outcome.AttemptFailure;

/**
 * The result of one attempt at an endpoint, as far as it is known when a small response was read
 * whole or a large one began.
 */
sealed interface AttemptResult {
  /**
   * The endpoint responded. A streamed body may still fail.
   *
   * @param response the response
   */
  record Responded(EndpointResponse response) implements AttemptResult {}

  /**
   * There is no response that could be forwarded.
   *
   * @param failure whether the endpoint may have run the request, and why
   */
  record Failed(AttemptFailure failure) implements AttemptResult {}
}
