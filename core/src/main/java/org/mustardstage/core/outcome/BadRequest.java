package org.mustardstage.core.outcome;

/** Why a request is invalid, so that an entry VM rejects it before admission. */
public enum BadRequest implements NotRunCause {
  /** The request violates HTTP or the caller API. */
  MALFORMED_REQUEST("malformed-request", HttpStatus.BAD_REQUEST),
  /** The deadline header is not a positive number of milliseconds. */
  MALFORMED_DEADLINE("malformed-deadline", HttpStatus.BAD_REQUEST),
  /** The idempotency key does not start with the key prefix of a lookup response. */
  MALFORMED_KEY("malformed-key", HttpStatus.BAD_REQUEST),
  /** The address in a lookup request is not an IPv4 address. */
  MALFORMED_ADDRESS("malformed-address", HttpStatus.BAD_REQUEST),
  /** The request names no service. */
  NO_SERVICE("no-service", HttpStatus.BAD_REQUEST),
  /** The HTTP method is not supported. */
  METHOD_NOT_CARRIED("method-not-carried", HttpStatus.METHOD_NOT_ALLOWED),
  /** The body is larger than the limit. */
  BODY_TOO_LARGE("body-too-large", HttpStatus.PAYLOAD_TOO_LARGE),
  /** The idempotency key was used before for a different request. */
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
