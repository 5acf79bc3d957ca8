package org.mustardstage.core.overload;

/** Why a request was rejected before it ran. */
public enum RejectionReason {
  /** The active manifest has no such service. */
  UNKNOWN_SERVICE("unknown-service"),
  /** No call of the service matches the method and path. */
  UNKNOWN_CALL("unknown-call"),
  /** No manifest is active yet. */
  NO_MANIFEST("no-manifest"),
  /** The request can't finish before its deadline, by the estimated wait and service time. */
  DEADLINE_TOO_SHORT("deadline-too-short"),
  /** The deadline passed, or came too close to still run the request, while it was queued. */
  DEADLINE_PASSED("deadline-passed"),
  /** The queue of the service is full for requests of this priority. */
  QUEUE_FULL("queue-full"),
  /** The request was removed from the queue in favor of a newer or higher-priority one. */
  DISPLACED("displaced"),
  /** No endpoint may be sent the request now. */
  NO_ENDPOINT("no-endpoint"),
  /** The retry budget of the service is spent. */
  RETRY_BUDGET_SPENT("retry-budget-spent"),
  /** Every region that could serve it has reached its share or rate limit (placeLimits). */
  PLACE_LIMIT("place-limit"),
  /** The entry VM is stopping. */
  STOPPING("stopping"),
  /** The caller disconnected before the request ran. */
  CALLER_LEFT("caller-left");

  private final String code;

  RejectionReason(String code) {
    this.code = code;
  }

  /** Returns the error code sent to callers; {@code docs/errors.md} lists all codes. */
  public String code() {
    return code;
  }
}
