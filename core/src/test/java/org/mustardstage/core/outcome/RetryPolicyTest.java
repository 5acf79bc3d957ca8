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

class RetryPolicyTest {
  private static final AttemptFailure REFUSED = new DidNotRun(NotRunReason.ENDPOINT_REFUSED);
  private static final AttemptFailure LOST = new MayHaveRun(UnknownOutcomeCause.ANSWER_LOST);
  private static final Outcome LOST_OUTCOME = new OutcomeUnknown(UnknownOutcomeCause.ANSWER_LOST);
  private static final AttemptHistory BOOKING = AttemptHistory.initial(false);
  private static final AttemptHistory READ = AttemptHistory.initial(true);

  private final RetryPolicy rule = new RetryPolicy(3, 100);

  @Test
  void bookingThatMayHaveRunIsNeverTriedAgain() {
    assertDecision(BOOKING, LOST, new Finish(LOST_OUTCOME));
    assertDecision(BOOKING.withFailure(REFUSED), LOST, new Finish(LOST_OUTCOME));
  }

  @Test
  void bookingThatDidNotRunIsTriedAgain() {
    assertDecision(BOOKING, REFUSED, new Retry());
  }

  @Test
  void readIsTriedAgain() {
    assertDecision(READ, LOST, new Retry());
  }

  @Test
  void triesAreBounded() {
    assertDecision(READ.withFailure(LOST).withFailure(LOST), LOST, new Finish(LOST_OUTCOME));
    assertDecision(
        BOOKING.withFailure(REFUSED).withFailure(REFUSED),
        REFUSED,
        new Finish(new NotRun(NotRunReason.ENDPOINT_REFUSED, 100)));
  }

  @Test
  void bodyThatIsGoneIsNotSentAgain() {
    assertThat(rule.decide(READ, LOST, false), is(new Finish(LOST_OUTCOME)));
  }

  @Test
  void refusalAfterATryThatMayHaveRunIsUnknown() {
    NotRun refusal = new NotRun(NotRunCause.ofRejection(RejectionReason.RETRY_BUDGET_SPENT), 50);

    assertThat(rule.outcomeOfRejection(READ.withFailure(LOST), refusal), is(LOST_OUTCOME));
    assertThat(rule.outcomeOfRejection(BOOKING.withFailure(REFUSED), refusal), is(refusal));
  }

  @Test
  void notRunIsNeverToldAfterATryThatMayHaveRun() {
    assertDecision(READ.withFailure(LOST).withFailure(REFUSED), REFUSED, new Finish(LOST_OUTCOME));
  }

  private void assertDecision(AttemptHistory history, AttemptFailure end, RetryDecision expected) {
    assertThat(rule.decide(history, end, true), is(expected));
  }
}
