package org.mustardstage.core.outcome;

import com.google.common.base.Preconditions;
import org.mustardstage.core.outcome.AttemptFailure.DidNotRun;
import org.mustardstage.core.outcome.AttemptFailure.MayHaveRun;
import org.mustardstage.core.outcome.Outcome.NotRun;
import org.mustardstage.core.outcome.Outcome.OutcomeUnknown;
import org.mustardstage.core.outcome.RetryDecision.Finish;
import org.mustardstage.core.outcome.RetryDecision.Retry;

/**
 * Decides whether a request is retried after a failed attempt. A request that is not idempotent is
 * retried only if no endpoint ran it.
 *
 * @param maxAttempts the largest number of attempts of one request
 * @param retryAfterMillis how long a caller should wait before it retries a request that was not
 *     run
 */
public record RetryPolicy(int maxAttempts, long retryAfterMillis) {
  /** Checks that the limits are in range. */
  public RetryPolicy {
    Preconditions.checkArgument(maxAttempts > 0, "maxAttempts must be positive");
    Preconditions.checkArgument(retryAfterMillis >= 0, "retryAfterMillis must not be negative");
  }

  /**
   * Returns what to do after {@code failure}.
   *
   * @param history the earlier attempts of the request
   * @param canResend whether the entry VM still has the whole request, with its body
   */
  public RetryDecision decide(AttemptHistory history, AttemptFailure failure, boolean canResend) {
    AttemptHistory updated = history.withFailure(failure);
    boolean safeToRetry = history.idempotent() || failure instanceof DidNotRun;
    if (canResend && safeToRetry && updated.attempts() < maxAttempts) {
      return new Retry();
    }
    return new Finish(outcomeOf(updated, failure));
  }

  /**
   * Returns the outcome of a request whose next attempt was rejected. It is unknown if an earlier
   * attempt may have run the request.
   */
  public Outcome outcomeOfRejection(AttemptHistory history, NotRun rejection) {
    return history.firstUnknownCause().<Outcome>map(OutcomeUnknown::new).getOrElse(rejection);
  }

  private Outcome outcomeOf(AttemptHistory updated, AttemptFailure failure) {
    return switch (failure) {
      case MayHaveRun mayHaveRun -> new OutcomeUnknown(mayHaveRun.cause());
      case DidNotRun didNotRun ->
          outcomeOfRejection(updated, new NotRun(didNotRun.reason(), retryAfterMillis));
    };
  }
}
