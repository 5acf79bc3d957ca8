package org.mustardstage.core.outcome;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.mustardstage.core.outcome.AttemptFailure.DidNotRun;
import org.mustardstage.core.outcome.AttemptFailure.MayHaveRun;
import org.mustardstage.core.outcome.Outcome.NotRun;
import org.mustardstage.core.outcome.Outcome.OutcomeUnknown;
import org.mustardstage.core.outcome.RetryDecision.Finish;
import org.mustardstage.core.outcome.RetryDecision.Retry;
import org.mustardstage.core.overload.RejectionReason;

/**
 * Guards against a non-idempotent request that runs twice, and against an outcome that says a
 * request did not run when an earlier attempt may have run it.
 */
class RetryPolicyTest {
  private static final AttemptFailure ENDPOINT_REJECTED =
      new DidNotRun(NotRunReason.ENDPOINT_REFUSED);
  private static final AttemptFailure RESPONSE_LOST =
      new MayHaveRun(UnknownOutcomeCause.ANSWER_LOST);
  private static final Outcome RESPONSE_LOST_OUTCOME =
      new OutcomeUnknown(UnknownOutcomeCause.ANSWER_LOST);
  private static final AttemptHistory NON_IDEMPOTENT = AttemptHistory.initial(false);
  private static final AttemptHistory IDEMPOTENT = AttemptHistory.initial(true);

  private final RetryPolicy policy = new RetryPolicy(3, 100);

  @Test
  void nonIdempotentRequestThatMayHaveRunIsNeverRetried() {
    assertDecision(NON_IDEMPOTENT, RESPONSE_LOST, new Finish(RESPONSE_LOST_OUTCOME));
    assertDecision(
        NON_IDEMPOTENT.withFailure(ENDPOINT_REJECTED),
        RESPONSE_LOST,
        new Finish(RESPONSE_LOST_OUTCOME));
  }

  @Test
  void nonIdempotentRequestThatDidNotRunIsRetried() {
    assertDecision(NON_IDEMPOTENT, ENDPOINT_REJECTED, new Retry());
  }

  @Test
  void idempotentRequestIsRetried() {
    assertDecision(IDEMPOTENT, RESPONSE_LOST, new Retry());
  }

  @Test
  void attemptsAreLimited() {
    assertDecision(
        IDEMPOTENT.withFailure(RESPONSE_LOST).withFailure(RESPONSE_LOST),
        RESPONSE_LOST,
        new Finish(RESPONSE_LOST_OUTCOME));
    assertDecision(
        NON_IDEMPOTENT.withFailure(ENDPOINT_REJECTED).withFailure(ENDPOINT_REJECTED),
        ENDPOINT_REJECTED,
        new Finish(new NotRun(NotRunReason.ENDPOINT_REFUSED, 100)));
  }

  @Test
  void requestThatCannotBeResentIsNotRetried() {
    assertThat(
        policy.decide(IDEMPOTENT, RESPONSE_LOST, false), is(new Finish(RESPONSE_LOST_OUTCOME)));
  }

  @Test
  void outcomeIsUnknownWhenARetryIsRejectedAfterAnAttemptThatMayHaveRun() {
    NotRun rejection = new NotRun(NotRunCause.ofRejection(RejectionReason.RETRY_BUDGET_SPENT), 50);

    assertThat(
        policy.outcomeOfRejection(IDEMPOTENT.withFailure(RESPONSE_LOST), rejection),
        is(RESPONSE_LOST_OUTCOME));
    assertThat(
        policy.outcomeOfRejection(NON_IDEMPOTENT.withFailure(ENDPOINT_REJECTED), rejection),
        is(rejection));
  }

  @Test
  void notRunIsNeverReportedAfterAnAttemptThatMayHaveRun() {
    assertDecision(
        IDEMPOTENT.withFailure(RESPONSE_LOST).withFailure(ENDPOINT_REJECTED),
        ENDPOINT_REJECTED,
        new Finish(RESPONSE_LOST_OUTCOME));
  }

  private void assertDecision(
      AttemptHistory history, AttemptFailure failure, RetryDecision expected) {
    assertThat(policy.decide(history, failure, true), is(expected));
  }
}
