package org.mustardstage.core.outcome;

import io.vavr.control.Option;
import org.mustardstage.core.outcome.AttemptFailure.DidNotRun;
import org.mustardstage.core.outcome.AttemptFailure.MayHaveRun;

/**
 * The tries of one request so far.
 *
 * @param idempotent whether running the request twice is harmless
 * @param attempts the number of tries that have ended
 * @param mayHaveRun why the first try that may have run did not end with an answer
 */
public record AttemptHistory(
    boolean idempotent, int attempts, Option<UnknownOutcomeCause> firstUnknownCause) {
  /** Returns the history of a request that was not tried yet. */
  public static AttemptHistory initial(boolean idempotent) {
    return new AttemptHistory(idempotent, 0, Option.none());
  }

  /** Returns this history with one more try. */
  public AttemptHistory withFailure(AttemptFailure end) {
    return switch (end) {
      case DidNotRun didNotRun -> new AttemptHistory(idempotent, attempts + 1, firstUnknownCause);
      case MayHaveRun lost ->
          new AttemptHistory(
              idempotent, attempts + 1, firstUnknownCause.orElse(Option.of(lost.cause())));
    };
  }
}
