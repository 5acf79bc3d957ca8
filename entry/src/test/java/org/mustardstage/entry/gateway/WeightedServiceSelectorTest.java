package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.gateway.RoutingRule;
import org.mustardstage.core.gateway.WeightedService;
import org.mustardstage.core.id.ServiceName;

class WeightedServiceSelectorTest {
  private static final ServiceName FIRST = new ServiceName("first");
  private static final ServiceName SECOND = new ServiceName("second");

  private final WeightedServiceSelector selector = new WeightedServiceSelector();

  @Test
  void everySequenceOfRequestsComesCloseToTheWeights() {
    RoutingRule rule = rule(90, 10);
    for (int from = 0; from < 20; from++) {
      int second = 0;
      for (int i = 0; i < 50; i++) {
        second += selector.select(rule).equals(SECOND) ? 1 : 0;
      }
      assertThat((double) second, is(closeTo(5, 1)));
    }
  }

  @Test
  void serviceWithZeroWeightGetsNoRequests() {
    RoutingRule rule = rule(1, 0);
    for (int i = 0; i < 20; i++) {
      assertThat(selector.select(rule), is(FIRST));
    }
  }

  private static RoutingRule rule(double first, double second) {
    return new RoutingRule(
        "split",
        "/",
        true,
        300,
        2,
        false,
        List.of(new WeightedService(FIRST, first), new WeightedService(SECOND, second)),
        1_200,
        2,
        Set.of());
  }
}
