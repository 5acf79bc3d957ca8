package org.mustardstage.cli;

/** The result of a call to the operator API. */
sealed interface CallResult {
  /**
   * An entry VM responded.
   *
   * @param status the HTTP status
   * @param version the manifest version in the response header, empty if there is none
   * @param body the body as text
   */
  record Response(int status, String version, String body) implements CallResult {}

  /** No entry VM could be reached, so the call had no effect. */
  record Unreachable(String detail) implements CallResult {}

  /** The connection failed or timed out after it was opened, so the call may have had an effect. */
  record Incomplete(String detail) implements CallResult {}
}
