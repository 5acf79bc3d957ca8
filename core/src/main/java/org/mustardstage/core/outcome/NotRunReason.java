package org.mustardstage.core.outcome;

/** Why an admitted request was not run by an endpoint. */
public enum NotRunReason implements NotRunCause {
  /** Each endpoint that was tried refused the request before it ran. */
  ENDPOINT_REFUSED("endpoint-refused"),
  /** No connection to an endpoint could be made. */
  ENDPOINT_UNREACHABLE("endpoint-unreachable"),
  /** The permit ended before the request could be sent. */
  PERMIT_EXPIRED("permit-expired"),
  /** The endpoint confirmed that the request never ran and never will. */
  CANCELLED_BEFORE_RUN("cancelled-before-run"),
  /** The memory of idempotency keys is full of requests that still run. */
  KEY_MEMORY_FULL("key-memory-full");

  private final String code;

  NotRunReason(String code) {
    this.code = code;
  }

  @Override
  public String code() {
    return code;
  }

  @Override
  public int status() {
    return HttpStatus.SERVICE_UNAVAILABLE;
  }
}
