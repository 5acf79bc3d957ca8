package org.mustardstage.core.overload;

/** Why a request was refused before it ran. */
public enum RejectionReason {
  /** The manifest in force has no such service. */
  UNKNOWN_SERVICE("unknown-service"),
  /** No call of the service matches the method and path. */
  UNKNOWN_CALL("unknown-call"),
  /** No manifest is in force yet. */
  NO_MANIFEST("no-manifest"),
  /** The request can't finish before its deadline. */
  DEADLINE_TOO_SHORT("deadline-too-short"),
  /** The deadline passed while the request waited. */
  DEADLINE_PASSED("deadline-passed"),
  /** The queue of the service and priority is full. */
  QUEUE_FULL("queue-full"),
  /** A newer or more important request took the place in the queue. */
  DISPLACED("displaced"),
  /** No endpoint may take the request now. */
  NO_ENDPOINT("no-endpoint"),
  /** The retry budget of the service is spent. */
  RETRY_BUDGET_SPENT("retry-budget-spent"),
  /** The share or rate limit of each place that could serve it is reached. */
  PLACE_LIMIT("place-limit"),
  /** The entry VM is stopping. */
  STOPPING("stopping"),
  /** The caller left before the request ran. */
  CALLER_LEFT("caller-left");

  private final String code;

  RejectionReason(String code) {
    this.code = code;
  }

  /** Returns the code that callers see; it is listed in {@code docs/errors.md}. */
  public String code() {
    return code;
  }
}
