package org.mustardstage.core.route;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/**
 * Checks that measurements lose their weight with age. A router that relies on stale load reports
 * or service times sends requests to endpoints that have become overloaded or slow.
 */
class EndpointHealthTest {
  private static final long NANOS_PER_SECOND = 1_000_000_000;

  private final EndpointHealth health = new EndpointHealth();

  @Test
  void utilizationIsAssumedWithoutReports() {
    assertThat(health.utilization(0), is(EndpointHealth.ASSUMED_UTILIZATION));
  }

  @Test
  void reportLosesHalfOfItsWeightPerSecond() {
    health.recordLoadReport(0, 1);
    assertThat(health.utilization(0), is(1.0));
    assertThat(health.utilization(NANOS_PER_SECOND), closeTo(0.6, 1e-9));
    assertThat(health.utilization(60 * NANOS_PER_SECOND), closeTo(0.2, 1e-9));
  }

  @Test
  void clampsReportsOutOfRange() {
    health.recordLoadReport(0, 7);
    assertThat(health.utilization(0), is(1.0));
    health.recordLoadReport(0, -7);
    assertThat(health.utilization(0), is(0.0));
  }

  @Test
  void oldServiceTimeApproachesTheMedian() {
    health.recordResponse(0, 100);
    assertThat(health.serviceNanos(0, 20), is(100.0));
    assertThat(health.serviceNanos(10 * NANOS_PER_SECOND, 20), closeTo(60, 1e-6));
  }

  @Test
  void countsFailuresAmongRecentRequests() {
    health.recordResponse(0, 100);
    health.recordFailure(0, 100);
    assertThat(health.failureShare(), is(0.5));
    assertThat(health.samples(0), is(2.0));
    assertThat(health.samples(5 * NANOS_PER_SECOND), closeTo(1, 1e-9));
  }

  @Test
  void measuresTheSlotsItUsesOfTheEndpoint() {
    for (int milli = 0; milli < 20_000; milli += 10) {
      health.recordResponse(milli * 1_000_000L, 30_000_000);
    }
    assertThat(health.ownSlotsInUse(20 * NANOS_PER_SECOND), closeTo(3, 0.1));
  }
}
