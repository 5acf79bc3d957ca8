package org.mustardstage.standins.load;

/** Result of one attempt of a request, as the caller sees it. */
sealed interface AttemptResult {
  /** The endpoint responded; the body may be truncated or belong to another request. */
  record Responded(int status, boolean bodyMatchesRequest) implements AttemptResult {}

  /** The entry VM reported that the request was not run. */
  record NotRun(String code, long retryAfterMillis) implements AttemptResult {}

  /** The connection to the entry VM could not be opened, so the request was not run. */
  record ConnectFailed() implements AttemptResult {}

  /** It is unknown whether the request was run. */
  record Unknown(String code) implements AttemptResult {}
}
