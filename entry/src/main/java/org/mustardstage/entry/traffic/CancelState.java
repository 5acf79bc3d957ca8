package org.mustardstage.entry.traffic;

import org.mustardstage.entry.control.AttemptReport;

/** The state of a request at an endpoint that was asked to cancel it. */
enum CancelState {
  /** The request did not run and will not run. */
  NOT_RUN("not-run", AttemptReport.Result.CANCELLED),
  /** The request was cancelled while it ran, and its slot is free. */
  CANCELLED("cancelled", AttemptReport.Result.CANCELLED),
  /** The request had already completed. */
  DONE("done", AttemptReport.Result.CANCELLED),
  /** The request is still running. */
  RUNNING("running", AttemptReport.Result.UNKNOWN),
  /** The request was never sent, so no cancel was needed. */
  NEVER_SENT("", AttemptReport.Result.NEVER_SENT),
  /** The endpoint did not respond or reported an unknown state. */
  NO_RESPONSE("", AttemptReport.Result.UNKNOWN);

  private final String wireValue;
  private final AttemptReport.Result permitUseResult;

  CancelState(String wireValue, AttemptReport.Result permitUseResult) {
    this.wireValue = wireValue;
    this.permitUseResult = permitUseResult;
  }

  /** Parses the state in an endpoint's response to a cancel. */
  static CancelState parse(String text) {
    for (CancelState state : values()) {
      if (!text.isEmpty() && state.wireValue.equals(text)) {
        return state;
      }
    }
    return NO_RESPONSE;
  }

  /** Returns the result to report when the permit of the cancelled request is released. */
  AttemptReport.Result permitUseResult() {
    return permitUseResult;
  }
}
