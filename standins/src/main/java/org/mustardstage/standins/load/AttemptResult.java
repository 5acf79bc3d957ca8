package org.mustardstage.standins.load;

/** How one try of a request ended for the caller. */
sealed interface AttemptResult {
  /** The endpoint answered, with the caller's own whole answer or not. */
  record Responded(int status, boolean bodyMatchesRequest) implements AttemptResult {}

  /** The system says that the request was not run. */
  record NotRun(String code, long retryAfterMillis) implements AttemptResult {}

  /** No connection was made, so that the request was not run. */
  record ConnectFailed() implements AttemptResult {}

  /** Nobody can tell whether the request was run. */
  record Unknown(String code) implements AttemptResult {}
}
