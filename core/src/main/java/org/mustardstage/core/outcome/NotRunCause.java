package org.mustardstage.core.outcome;

import org.mustardstage.core.overload.RejectionReason;

/** Why a request was certainly not run. */
public sealed interface NotRunCause
    permits NotRunCause.AdmissionRejection, NotRunReason, BadRequest {
  /** Returns the error code sent to callers; {@code docs/errors.md} lists all codes. */
  String code();

  /** Returns the HTTP status of the response to the caller. */
  int status();

  /** Returns the cause for a rejection by the admission control of this entry VM. */
  static NotRunCause ofRejection(RejectionReason reason) {
    return new AdmissionRejection(reason);
  }

  /**
   * The admission control of this entry VM rejected the request.
   *
   * @param reason why it was rejected
   */
  record AdmissionRejection(RejectionReason reason) implements NotRunCause {
    @Override
    public String code() {
      return reason.code();
    }

    @Override
    public int status() {
      return switch (reason) {
        case UNKNOWN_SERVICE, UNKNOWN_CALL -> HttpStatus.NOT_FOUND;
        case NO_MANIFEST,
            DEADLINE_TOO_SHORT,
            DEADLINE_PASSED,
            QUEUE_FULL,
            DISPLACED,
            NO_ENDPOINT,
            RETRY_BUDGET_SPENT,
            PLACE_LIMIT,
            STOPPING,
            CALLER_LEFT ->
            HttpStatus.SERVICE_UNAVAILABLE;
      };
    }
  }
}
