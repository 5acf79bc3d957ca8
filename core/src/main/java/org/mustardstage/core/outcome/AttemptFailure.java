package org.mustardstage.core.outcome;

/** How one try at an endpoint ended without a whole answer. */
public sealed interface AttemptFailure {
  /**
   * The endpoint surely did not run the request.
   *
   * @param reason how that is known
   */
  record DidNotRun(NotRunReason reason) implements AttemptFailure {}

  /**
   * The endpoint may have run the request.
   *
   * @param cause what went wrong
   */
  record MayHaveRun(UnknownOutcomeCause cause) implements AttemptFailure {}
}
