package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.google.common.collect.ImmutableSet;
import io.activej.http.HttpMethod;
import java.net.InetAddress;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.gateway.RoutingRule;
import org.mustardstage.core.gateway.WeightedService;
import org.mustardstage.core.http.HeaderList;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.entry.gateway.PlacementRequest.BudgetUse;

/** Guards against more attempts, or more retries, when two VMs take part in a request. */
class AttemptBudgetTest {
  private static final ServiceName SERVICE = new ServiceName("orders");

  private static AttemptBudget budget(
      int maxAttempts, boolean idempotent, Optional<RelayHeader> relay) {
    RoutingRule rule =
        new RoutingRule(
            "rule",
            "/",
            idempotent,
            500,
            1,
            true,
            List.of(new WeightedService(SERVICE, 1)),
            2_000,
            maxAttempts,
            ImmutableSet.of());
    return new AttemptBudget(
        new CallerRequest(
            "r-1",
            rule,
            Optional.empty(),
            Optional.empty(),
            SERVICE,
            Optional.empty(),
            HttpMethod.GET,
            "/",
            new HeaderList(List.of()),
            new byte[0],
            InetAddress.getLoopbackAddress(),
            0,
            0,
            relay));
  }

  private static AttemptBudget budgetAtOtherVm(
      int maxAttempts, boolean idempotent, int usedByOthers) {
    return budget(maxAttempts, idempotent, Optional.of(new RelayHeader(1, usedByOthers, 0)));
  }

  private static int attempts(AttemptBudget budget) {
    int attempts = 0;
    while (budget.hasAttempt()) {
      budget.recordSent();
      attempts++;
    }
    return attempts;
  }

  @Test
  void twoVmsTogetherSendNoMoreThanTheRuleAllows() {
    for (int maxAttempts = 1; maxAttempts <= 4; maxAttempts++) {
      for (int sentBefore = 0; sentBefore < maxAttempts; sentBefore++) {
        for (boolean idempotent : new boolean[] {true, false}) {
          AttemptBudget first = budget(maxAttempts, idempotent, Optional.empty());
          for (int i = 0; i < sentBefore; i++) {
            first.recordSent();
          }
          int elsewhere = attempts(budgetAtOtherVm(maxAttempts, idempotent, first.handOver()));
          assertThat(sentBefore + elsewhere + attempts(first), is(maxAttempts));
        }
      }
    }
  }

  @Test
  void attemptIsKeptBackForTheLossOfTheOtherVm() {
    AttemptBudget budget = budget(3, /* idempotent= */ true, Optional.empty());
    budget.handOver();

    assertThat(budget.hasAttempt(), is(true));
    assertThat(budget.nextUse(), is(BudgetUse.RETRY));
  }

  @Test
  void requestThatMustNotRunTwiceIsNotSentAgainAfterItWasRelayed() {
    AttemptBudget budget = budget(3, /* idempotent= */ false, Optional.empty());
    budget.handOver();

    assertThat(budget.hasAttempt(), is(false));
  }

  @Test
  void requestThatTheOtherVmDidNotRunMayBeSentHere() {
    AttemptBudget budget = budget(3, /* idempotent= */ false, Optional.empty());
    budget.nextUse();
    budget.handOver();
    budget.takeBack();

    assertThat(budget.nextUse(), is(BudgetUse.NOT_SENT_BEFORE));
    assertThat(attempts(budget), is(3));
  }

  @Test
  void firstAttemptOfARelayedRequestIsCountedByOneVmOnly() {
    AttemptBudget first = budget(3, /* idempotent= */ true, Optional.empty());
    assertThat(first.nextUse(), is(BudgetUse.FIRST_ATTEMPT));
    AttemptBudget other = budgetAtOtherVm(3, /* idempotent= */ true, first.handOver());

    assertThat(other.nextUse(), is(BudgetUse.NOT_SENT_BEFORE));
  }
}
