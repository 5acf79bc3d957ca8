package org.mustardstage.core.outcome;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.mustardstage.core.outcome.AttemptEnd.DidNotRun;
import org.mustardstage.core.outcome.AttemptEnd.MayHaveRun;
import org.mustardstage.core.outcome.Outcome.NotRun;
import org.mustardstage.core.outcome.Outcome.OutcomeUnknown;
import org.mustardstage.core.outcome.RetryDecision.GiveUp;
import org.mustardstage.core.outcome.RetryDecision.TryAgain;
import org.mustardstage.core.overload.RefusalReason;

class RetryRuleTest {
  private static final AttemptEnd REFUSED = new DidNotRun(NotRunReason.ENDPOINT_REFUSED);
  private static final AttemptEnd LOST = new MayHaveRun(UnknownCause.ANSWER_LOST);
  private static final Outcome LOST_OUTCOME = new OutcomeUnknown(UnknownCause.ANSWER_LOST);
  private static final AttemptHistory BOOKING = AttemptHistory.none(false);
  private static final AttemptHistory READ = AttemptHistory.none(true);

  private final RetryRule rule = new RetryRule(3, 100);

  @Test
  void bookingThatMayHaveRunIsNeverTriedAgain() {
    assertDecision(BOOKING, LOST, new GiveUp(LOST_OUTCOME));
    assertDecision(BOOKING.and(REFUSED), LOST, new GiveUp(LOST_OUTCOME));
  }

  @Test
  void bookingThatDidNotRunIsTriedAgain() {
    assertDecision(BOOKING, REFUSED, new TryAgain());
  }

  @Test
  void readIsTriedAgain() {
    assertDecision(READ, LOST, new TryAgain());
  }

  @Test
  void triesAreBounded() {
    assertDecision(READ.and(LOST).and(LOST), LOST, new GiveUp(LOST_OUTCOME));
    assertDecision(
        BOOKING.and(REFUSED).and(REFUSED),
        REFUSED,
        new GiveUp(new NotRun(NotRunReason.ENDPOINT_REFUSED, 100)));
  }

  @Test
  void bodyThatIsGoneIsNotSentAgain() {
    assertThat(rule.decide(READ, LOST, false), is(new GiveUp(LOST_OUTCOME)));
  }

  @Test
  void refusalAfterATryThatMayHaveRunIsUnknown() {
    NotRun refusal = new NotRun(NotRunCause.refusedBy(RefusalReason.RETRY_BUDGET_SPENT), 50);

    assertThat(rule.outcomeOfRefusal(READ.and(LOST), refusal), is(LOST_OUTCOME));
    assertThat(rule.outcomeOfRefusal(BOOKING.and(REFUSED), refusal), is(refusal));
  }

  @Test
  void notRunIsNeverToldAfterATryThatMayHaveRun() {
    assertDecision(READ.and(LOST).and(REFUSED), REFUSED, new GiveUp(LOST_OUTCOME));
  }

  private void assertDecision(AttemptHistory history, AttemptEnd end, RetryDecision expected) {
    assertThat(rule.decide(history, end, true), is(expected));
  }
}
