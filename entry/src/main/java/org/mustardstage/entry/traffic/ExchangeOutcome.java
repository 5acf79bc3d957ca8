package org.mustardstage.entry.traffic;

import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.outcome.Outcome;

/** How the request of a caller ended. */
sealed interface ExchangeOutcome {
  /**
   * An endpoint answered.
   *
   * @param answer the answer; a streamed body may still break
   * @param endpoint the endpoint
   */
  record Responded(EndpointResponse response, EndpointId endpoint) implements ExchangeOutcome {}

  /**
   * There is no answer of an endpoint.
   *
   * @param outcome what the caller is told
   */
  record Failed(Outcome outcome) implements ExchangeOutcome {}
}
