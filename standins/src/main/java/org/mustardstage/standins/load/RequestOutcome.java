package org.mustardstage.standins.load;

/** What became of a request after all of its tries. */
sealed interface RequestOutcome {
  /** It was answered, with the caller's own answer or not. */
  record Responded(boolean bodyMatchesRequest) implements RequestOutcome {}

  /** The endpoint answered with an error. */
  record FailedByEndpoint(int status) implements RequestOutcome {}

  /** Every try was reported as not run. */
  record NotRun(String code) implements RequestOutcome {}

  /** Nobody can tell whether it was run. */
  record Unknown(String code) implements RequestOutcome {}
}
