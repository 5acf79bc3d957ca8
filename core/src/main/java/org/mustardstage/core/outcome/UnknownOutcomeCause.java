package org.mustardstage.core.outcome;

/** Why the outcome of a request is unknown. */
public enum UnknownOutcomeCause {
  /** The deadline passed while the request was at an endpoint. */
  DEADLINE_PASSED_IN_FLIGHT("deadline-passed-in-flight"),
  /** The connection to the endpoint failed before the complete response arrived. */
  ANSWER_LOST("answer-lost"),
  /** Nothing arrived on the connection to the endpoint for too long. */
  CONNECTION_SILENT("connection-silent"),
  /** The response of the endpoint is not valid HTTP, or does not state its length. */
  ANSWER_MALFORMED("answer-malformed"),
  /** The home of the idempotency key has stopped, or can't be reached. */
  KEY_HOME_GONE("key-home-gone"),
  /** The home of the idempotency key may have evicted it. */
  KEY_FORGOTTEN("key-forgotten"),
  /** The request with this idempotency key got a response that was too large to store. */
  ANSWER_NOT_KEPT("answer-not-kept");

  private final String code;

  UnknownOutcomeCause(String code) {
    this.code = code;
  }

  /** Returns the error code sent to callers; {@code docs/errors.md} lists all codes. */
  public String code() {
    return code;
  }

  /** Returns the HTTP status of the response to the caller. */
  public int status() {
    return HttpStatus.BAD_GATEWAY;
  }
}
