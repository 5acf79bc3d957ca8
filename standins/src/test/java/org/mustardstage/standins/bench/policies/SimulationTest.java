package org.mustardstage.standins.bench.policies;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;
import org.mustardstage.core.manifest.Priority;

/**
 * Guards against a collapse of goodput under overload, when callers retry requests that waited in
 * queues past their deadlines, and against a model that would not show it.
 */
class SimulationTest {
  private static final ServiceModel SERVICE = ServiceModel.CREDIT_LEDGER;
  private static final long WARM_UP_MILLIS = 1_000;

  @Test
  void goodputAndLatencyMeetTargetsAtTwiceCapacity() {
    RunResult result = run(EntryVmPolicy.MUSTARDSTAGE, 2);
    assertThat(result.goodput(), greaterThanOrEqualTo(0.95));
    assertThat(result.latencyMillis(Priority.INTERACTIVE, 99), lessThanOrEqualTo(1_000.0));
  }

  @Test
  void batchRequestsSucceedAtTwiceCapacity() {
    assertThat(
        run(EntryVmPolicy.MUSTARDSTAGE, 2).succeededRequests(Priority.BATCH), greaterThan(0L));
  }

  @Test
  void goodputOfPlainQueueCollapsesAtTwiceCapacity() {
    assertThat(run(EntryVmPolicy.PLAIN_QUEUE, 2).goodput(), lessThan(0.7));
  }

  @Test
  void sameSeedGivesSameResult() {
    RunResult first = run(EntryVmPolicy.MUSTARDSTAGE, 0.8);
    RunResult second = run(EntryVmPolicy.MUSTARDSTAGE, 0.8);
    assertThat(first.goodput(), is(second.goodput()));
    assertThat(first.latencies(), is(second.latencies()));
  }

  private static RunResult run(EntryVmPolicy policy, double ratio) {
    LoadShape load = LoadShape.steady(ratio, 5_000);
    return new Simulation(SERVICE, policy, Scenario.HEALTHY, load, 1).run(WARM_UP_MILLIS);
  }
}
