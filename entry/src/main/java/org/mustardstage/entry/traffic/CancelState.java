package org.mustardstage.entry.traffic;

import org.mustardstage.entry.control.UseEnd;

/** What an endpoint says of a request that it was asked to cancel. */
enum CancelState {
  /** It did not run and will not. */
  NOT_RUN("not-run", UseEnd.Result.CANCELLED),
  /** It ran, was cancelled, and its slot is free. */
  CANCELLED("cancelled", UseEnd.Result.CANCELLED),
  /** It ran to its end. */
  DONE("done", UseEnd.Result.CANCELLED),
  /** It is running still. */
  RUNNING("running", UseEnd.Result.UNKNOWN),
  /** It was never sent, so there was nothing to cancel. */
  NEVER_SENT("", UseEnd.Result.NEVER_SENT),
  /** The endpoint did not say. */
  NO_RESPONSE("", UseEnd.Result.UNKNOWN);

  private final String wireValue;
  private final UseEnd.Result permitUseResult;

  CancelState(String text, UseEnd.Result useEnd) {
    this.wireValue = text;
    this.permitUseResult = useEnd;
  }

  /** Returns the state that the endpoint wrote as {@code text}. */
  static CancelState parse(String text) {
    for (CancelState state : values()) {
      if (!text.isEmpty() && state.wireValue.equals(text)) {
        return state;
      }
    }
    return NO_RESPONSE;
  }

  /** Returns how the use of the permit ended. */
  UseEnd.Result permitUseResult() {
    return permitUseResult;
  }
}
