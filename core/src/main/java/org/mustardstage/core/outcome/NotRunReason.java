package org.mustardstage.core.outcome;

/** Why no endpoint ran a request that was valid and not rejected by admission control. */
public enum NotRunReason implements NotRunCause {
  /** The last endpoint that was attempted rejected the request before running it. */
  ENDPOINT_REFUSED("endpoint-refused"),
  /** No connection to an endpoint could be established. */
  ENDPOINT_UNREACHABLE("endpoint-unreachable"),
  /** The permit expired before the request could be sent. */
  PERMIT_EXPIRED("permit-expired"),
  /** The request was cancelled; the endpoint confirmed that it did not run and never will. */
  CANCELLED_BEFORE_RUN("cancelled-before-run"),
  /** The store of idempotency keys is full of running requests. */
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
