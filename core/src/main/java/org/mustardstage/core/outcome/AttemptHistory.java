package org.mustardstage.core.outcome;

import io.vavr.control.Option;
import org.mustardstage.core.outcome.AttemptFailure.DidNotRun;
import org.mustardstage.core.outcome.AttemptFailure.MayHaveRun;

/**
 * The attempts of one request so far, all of which failed.
 *
 * @param idempotent whether running the request twice is harmless
 * @param attempts the number of attempts that have ended
 * @param firstUnknownCause why the first attempt that may have run the request got no response, if
 *     there was one
 */
public record AttemptHistory(
    boolean idempotent, int attempts, Option<UnknownOutcomeCause> firstUnknownCause) {
  /** Returns the history of a request before its first attempt. */
  public static AttemptHistory initial(boolean idempotent) {
    return new AttemptHistory(idempotent, 0, Option.none());
  }

  /** Returns this history with one more attempt, which ended with {@code failure}. */
  public AttemptHistory withFailure(AttemptFailure failure) {
    return switch (failure) {
      case DidNotRun didNotRun -> new AttemptHistory(idempotent, attempts + 1, firstUnknownCause);
      case MayHaveRun unknown ->
          new AttemptHistory(
              idempotent, attempts + 1, firstUnknownCause.orElse(Option.of(unknown.cause())));
    };
  }
}
