package org.mustardstage.core.outcome;

import org.mustardstage.core.overload.RejectionReason;

/** Why a request was surely not run. */
public sealed interface NotRunCause
    permits NotRunCause.AdmissionRejection, NotRunReason, BadRequest {
  /** Returns the code that callers see; it is listed in {@code docs/errors.md}. */
  String code();

  /** Returns the HTTP status that callers see. */
  int status();

  /** Returns the cause that stands for a refusal by the admission of this entry VM. */
  static NotRunCause ofRejection(RejectionReason reason) {
    return new AdmissionRejection(reason);
  }

  /**
   * The admission refused the request.
   *
   * @param reason why
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
