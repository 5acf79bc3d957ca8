package org.mustardstage.core.outcome;

import com.google.common.base.Preconditions;

/** How the request of a caller ended, as its response says. */
public sealed interface Outcome {
  /** Returns the value of the header {@code Mustardstage-Outcome}. */
  default String headerValue() {
    return switch (this) {
      case Responded responded -> "answered";
      case NotRun notRun -> "not-run";
      case OutcomeUnknown unknown -> "outcome-unknown";
    };
  }

  /**
   * An endpoint responded, and its complete response is forwarded to the caller.
   *
   * @param status the HTTP status of the endpoint's response
   */
  record Responded(int status) implements Outcome {}

  /**
   * No endpoint ran the request, and none will.
   *
   * @param cause why it was not run
   * @param retryAfterMillis how long the caller should wait before a retry
   */
  record NotRun(NotRunCause cause, long retryAfterMillis) implements Outcome {
    /** Checks that the time is not negative. */
    public NotRun {
      Preconditions.checkArgument(
          retryAfterMillis >= 0, "retryAfterMillis must not be negative: %s", retryAfterMillis);
    }
  }

  /**
   * An endpoint may have run the request, or may be running it.
   *
   * @param cause why the outcome is unknown
   */
  record OutcomeUnknown(UnknownOutcomeCause cause) implements Outcome {}
}
