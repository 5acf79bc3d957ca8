package org.mustardstage.core.outcome;

/** The HTTP status codes of responses that an entry VM creates itself. */
final class HttpStatus {
  static final int BAD_REQUEST = 400;
  static final int NOT_FOUND = 404;
  static final int METHOD_NOT_ALLOWED = 405;
  static final int PAYLOAD_TOO_LARGE = 413;
  static final int UNPROCESSABLE = 422;
  static final int BAD_GATEWAY = 502;
  static final int SERVICE_UNAVAILABLE = 503;

  private HttpStatus() {}
}
