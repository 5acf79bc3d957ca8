package org.mustardstage.standins.endpoint;

/** Reason why an endpoint rejects a request without running it, sent in a response header. */
enum RejectionCode {
  /** All slots are in use, or a fault makes the endpoint reject every request. */
  OVERLOADED("overloaded"),
  /** The endpoint is draining and accepts no new requests. */
  DRAINING("draining"),
  /** The deadline of the request has passed. */
  DEADLINE("deadline"),
  /** The request was cancelled before it arrived. */
  CANCELLED("cancelled");

  private final String code;

  RejectionCode(String code) {
    this.code = code;
  }

  String code() {
    return code;
  }
}
