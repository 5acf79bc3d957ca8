package org.mustardstage.standins.load;

/** What became of a request after all of its tries. */
sealed interface FinalOutcome {
  /** It was answered, with the caller's own answer or not. */
  record Answered(boolean belongsToRequest) implements FinalOutcome {}

  /** The endpoint answered with an error. */
  record FailedByEndpoint(int status) implements FinalOutcome {}

  /** Every try was reported as not run. */
  record NotRun(String code) implements FinalOutcome {}

  /** Nobody can tell whether it was run. */
  record Unknown(String code) implements FinalOutcome {}
}
