package org.mustardstage.cli;

/** What came back from the operator API. */
sealed interface CallResult {
  /**
   * An entry VM answered.
   *
   * @param status the HTTP status
   * @param version the version that the answer states, empty if it states none
   * @param body the body as text
   */
  record Response(int status, String version, String body) implements CallResult {}

  /** No entry VM could be reached, so that nothing was done. */
  record Unreachable(String detail) implements CallResult {}

  /** The connection broke or the time ran out after the request was sent. */
  record Incomplete(String detail) implements CallResult {}
}
