package org.mustardstage.entry.traffic;

import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.outcome.Outcome;

/** How a caller's request ended. */
sealed interface ExchangeOutcome {
  /**
   * An endpoint responded.
   *
   * @param response the response; a streamed body may still fail
   * @param endpoint the endpoint that responded
   */
  record Responded(EndpointResponse response, EndpointId endpoint) implements ExchangeOutcome {}

  /**
   * No endpoint response is available.
   *
   * @param outcome the outcome to report to the caller
   */
  record Failed(Outcome outcome) implements ExchangeOutcome {}
}
