package org.mustardstage.standins.endpoint;

/** Why an endpoint refuses a request before it ran. */
enum RejectionCode {
  /** All slots are in use. */
  OVERLOADED("overloaded"),
  /** The endpoint is leaving. */
  DRAINING("draining"),
  /** There is no time left. */
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
