package org.mustardstage.core.outcome;

/** What is wrong with a request that no entry VM would run. */
public enum BadRequest implements NotRunCause {
  /** The request breaks the rules of HTTP or of the caller API. */
  MALFORMED_REQUEST("malformed-request", HttpStatus.BAD_REQUEST),
  /** The deadline header is not a positive number of milliseconds. */
  MALFORMED_DEADLINE("malformed-deadline", HttpStatus.BAD_REQUEST),
  /** The idempotency key does not begin with the key prefix of a look-up answer. */
  MALFORMED_KEY("malformed-key", HttpStatus.BAD_REQUEST),
  /** The address of a look-up is not an IPv4 address. */
  MALFORMED_ADDRESS("malformed-address", HttpStatus.BAD_REQUEST),
  /** The request names no service. */
  NO_SERVICE("no-service", HttpStatus.BAD_REQUEST),
  /** The method can't be carried. */
  METHOD_NOT_CARRIED("method-not-carried", HttpStatus.METHOD_NOT_ALLOWED),
  /** The body is larger than the limit. */
  BODY_TOO_LARGE("body-too-large", HttpStatus.PAYLOAD_TOO_LARGE),
  /** The idempotency key was used before for another request. */
  KEY_REUSED("key-reused", HttpStatus.UNPROCESSABLE);

  private final String code;
  private final int status;

  BadRequest(String code, int status) {
    this.code = code;
    this.status = status;
  }

  @Override
  public String code() {
    return code;
  }

  @Override
  public int status() {
    return status;
  }
}
