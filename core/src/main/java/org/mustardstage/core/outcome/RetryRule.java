package org.mustardstage.core.outcome;

import com.google.common.base.Preconditions;
import org.mustardstage.core.outcome.AttemptEnd.DidNotRun;
import org.mustardstage.core.outcome.AttemptEnd.MayHaveRun;
import org.mustardstage.core.outcome.Outcome.NotRun;
import org.mustardstage.core.outcome.Outcome.OutcomeUnknown;
import org.mustardstage.core.outcome.RetryDecision.GiveUp;
import org.mustardstage.core.outcome.RetryDecision.TryAgain;

/**
 * Decides whether a request is tried again. A request that is not idempotent is tried again only
 * when no endpoint ran it.
 *
 * @param maxAttempts the most tries of one request
 * @param retryAfterMillis when a caller may come back with a request that was not run
 */
public record RetryRule(int maxAttempts, long retryAfterMillis) {
  /** Checks the bounds. */
  public RetryRule {
    Preconditions.checkArgument(maxAttempts > 0, "maxAttempts must be positive");
    Preconditions.checkArgument(retryAfterMillis >= 0, "retryAfterMillis must not be negative");
  }

  /** Returns what follows on {@code end}, given all earlier tries of the request. */
  public RetryDecision decide(AttemptHistory history, AttemptEnd end, boolean canBeSentAgain) {
    AttemptHistory all = history.and(end);
    boolean mayRunAgain = history.idempotent() || end instanceof DidNotRun;
    if (canBeSentAgain && mayRunAgain && all.attempts() < maxAttempts) {
      return new TryAgain();
    }
    return new GiveUp(outcomeOf(all, end));
  }

  /** Returns what the caller is told when no further try was admitted. */
  public Outcome outcomeOfRefusal(AttemptHistory history, NotRun refusal) {
    return history.mayHaveRun().<Outcome>map(OutcomeUnknown::new).getOrElse(refusal);
  }

  private Outcome outcomeOf(AttemptHistory all, AttemptEnd end) {
    return switch (end) {
      case MayHaveRun mayHaveRun -> new OutcomeUnknown(mayHaveRun.cause());
      case DidNotRun didNotRun ->
          outcomeOfRefusal(all, new NotRun(didNotRun.reason(), retryAfterMillis));
    };
  }
}
