package org.mustardstage.core.outcome;

import com.google.common.base.Preconditions;
import org.mustardstage.core.outcome.AttemptFailure.DidNotRun;
import org.mustardstage.core.outcome.AttemptFailure.MayHaveRun;
import org.mustardstage.core.outcome.Outcome.NotRun;
import org.mustardstage.core.outcome.Outcome.OutcomeUnknown;
import org.mustardstage.core.outcome.RetryDecision.Finish;
import org.mustardstage.core.outcome.RetryDecision.Retry;

/**
 * Decides whether a request is tried again. A request that is not idempotent is tried again only
 * when no endpoint ran it.
 *
 * @param maxAttempts the most tries of one request
 * @param retryAfterMillis when a caller may come back with a request that was not run
 */
public record RetryPolicy(int maxAttempts, long retryAfterMillis) {
  /** Checks the bounds. */
  public RetryPolicy {
    Preconditions.checkArgument(maxAttempts > 0, "maxAttempts must be positive");
    Preconditions.checkArgument(retryAfterMillis >= 0, "retryAfterMillis must not be negative");
  }

  /** Returns what follows on {@code end}, given all earlier tries of the request. */
  public RetryDecision decide(AttemptHistory history, AttemptFailure end, boolean canBeSentAgain) {
    AttemptHistory all = history.withFailure(end);
    boolean mayRunAgain = history.idempotent() || end instanceof DidNotRun;
    if (canBeSentAgain && mayRunAgain && all.attempts() < maxAttempts) {
      return new Retry();
    }
    return new Finish(outcomeOf(all, end));
  }

  /** Returns what the caller is told when no further try was admitted. */
  public Outcome outcomeOfRejection(AttemptHistory history, NotRun refusal) {
    return history.firstUnknownCause().<Outcome>map(OutcomeUnknown::new).getOrElse(refusal);
  }

  private Outcome outcomeOf(AttemptHistory all, AttemptFailure end) {
    return switch (end) {
      case MayHaveRun mayHaveRun -> new OutcomeUnknown(mayHaveRun.cause());
      case DidNotRun didNotRun ->
          outcomeOfRejection(all, new NotRun(didNotRun.reason(), retryAfterMillis));
    };
  }
}
