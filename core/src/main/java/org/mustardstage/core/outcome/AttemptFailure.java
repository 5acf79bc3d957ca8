package org.mustardstage.core.outcome;

/** How one attempt at an endpoint ended without a complete response. */
public sealed interface AttemptFailure {
  /**
   * The endpoint certainly did not run the request, and never will.
   *
   * @param reason how this is known
   */
  record DidNotRun(NotRunReason reason) implements AttemptFailure {}

  /**
   * The endpoint may have run the request.
   *
   * @param cause what went wrong
   */
  record MayHaveRun(UnknownOutcomeCause cause) implements AttemptFailure {}
}
