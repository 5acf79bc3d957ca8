package org.mustardstage.core.outcome;

/** Why the end of a request is not known. */
public enum UnknownOutcomeCause {
  /** The deadline passed while the request was at an endpoint. */
  DEADLINE_PASSED_IN_FLIGHT("deadline-passed-in-flight"),
  /** The connection to the endpoint broke before the whole answer arrived. */
  ANSWER_LOST("answer-lost"),
  /** The connection to the endpoint went silent. */
  CONNECTION_SILENT("connection-silent"),
  /** The answer of the endpoint is not valid HTTP, or has no stated length. */
  ANSWER_MALFORMED("answer-malformed"),
  /** The entry VM that is home to the idempotency key is gone or can't be reached. */
  KEY_HOME_GONE("key-home-gone"),
  /** The idempotency key is older than what its home still remembers. */
  KEY_FORGOTTEN("key-forgotten"),
  /** The request with this idempotency key was answered, and the answer was too large to keep. */
  ANSWER_NOT_KEPT("answer-not-kept");

  private final String code;

  UnknownOutcomeCause(String code) {
    this.code = code;
  }

  /** Returns the code that callers see; it is listed in {@code docs/errors.md}. */
  public String code() {
    return code;
  }

  /** Returns the HTTP status that callers see. */
  public int status() {
    return HttpStatus.BAD_GATEWAY;
  }
}
