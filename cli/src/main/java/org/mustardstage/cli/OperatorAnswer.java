package org.mustardstage.cli;

/** What came back from the operator API. */
sealed interface OperatorAnswer {
  /**
   * An entry VM answered.
   *
   * @param status the HTTP status
   * @param version the version that the answer states, empty if it states none
   * @param body the body as text
   */
  record Received(int status, String version, String body) implements OperatorAnswer {}

  /** No entry VM could be reached, so that nothing was done. */
  record Unreachable(String detail) implements OperatorAnswer {}

  /** The connection broke or the time ran out after the request was sent. */
  record Broken(String detail) implements OperatorAnswer {}
}
