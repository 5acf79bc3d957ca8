package org.mustardstage.core.outcome;

import com.google.common.base.Preconditions;

/** What a caller is told about the end of its request. */
public sealed interface Outcome {
  /** Returns the value of the header {@code Mustardstage-Outcome}. */
  default String headerValue() {
    return switch (this) {
      case Responded answered -> "answered";
      case NotRun notRun -> "not-run";
      case OutcomeUnknown unknown -> "outcome-unknown";
    };
  }

  /**
   * An endpoint answered, and the whole answer is passed on.
   *
   * @param status the HTTP status of the endpoint's answer
   */
  record Responded(int status) implements Outcome {}

  /**
   * No endpoint ran the request, and none will.
   *
   * @param cause why
   * @param retryAfterMillis when the caller may come back
   */
  record NotRun(NotRunCause cause, long retryAfterMillis) implements Outcome {
    /** Checks that the time is not negative. */
    public NotRun {
      Preconditions.checkArgument(retryAfterMillis >= 0, "retryAfterMillis: %s", retryAfterMillis);
    }
  }

  /**
   * An endpoint may have run the request, or may be running it.
   *
   * @param cause why the end is not known
   */
  record OutcomeUnknown(UnknownOutcomeCause cause) implements Outcome {}
}
