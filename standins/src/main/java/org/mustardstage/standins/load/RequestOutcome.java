package org.mustardstage.standins.load;

/** How a request ended after all of its attempts. */
sealed interface RequestOutcome {
  /** The endpoint responded with status 200; the body may belong to another request. */
  record Responded(boolean bodyMatchesRequest) implements RequestOutcome {}

  /** The endpoint responded with a status other than 200. */
  record FailedByEndpoint(int status) implements RequestOutcome {}

  /** No attempt was run. */
  record NotRun(String code) implements RequestOutcome {}

  /** It is unknown whether the request was run. */
  record Unknown(String code) implements RequestOutcome {}
}
