package org.mustardstage.core.route;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class EndpointHealthTest {
  private static final long SECOND = 1_000_000_000;

  private final EndpointHealth health = new EndpointHealth();

  @Test
  void withoutReportsTheDeclaredCapacityLessAMarginCounts() {
    assertThat(health.usedShare(0), is(EndpointHealth.DECLARED_MARGIN));
  }

  @Test
  void aReportLosesHalfOfItsWeightInASecond() {
    health.observeReport(0, 1);
    assertThat(health.usedShare(0), is(1.0));
    assertThat(health.usedShare(SECOND), closeTo(0.6, 1e-9));
    assertThat(health.usedShare(60 * SECOND), closeTo(0.2, 1e-9));
  }

  @Test
  void aReportOutOfRangeIsCutToIt() {
    health.observeReport(0, 7);
    assertThat(health.usedShare(0), is(1.0));
    health.observeReport(0, -7);
    assertThat(health.usedShare(0), is(0.0));
  }

  @Test
  void anOldServiceTimeGivesWayToTheUsualOne() {
    health.observeAnswer(0, 100);
    assertThat(health.serviceNanos(0, 20), is(100.0));
    assertThat(health.serviceNanos(10 * SECOND, 20), closeTo(60, 1e-6));
  }

  @Test
  void countsFailuresAmongRecentRequests() {
    health.observeAnswer(0, 100);
    health.observeFailure(0, 100);
    assertThat(health.failureShare(), is(0.5));
    assertThat(health.samples(0), is(2.0));
    assertThat(health.samples(5 * SECOND), closeTo(1, 1e-9));
  }

  @Test
  void measuresHowBusyItKeepsTheEndpoint() {
    for (int milli = 0; milli < 20_000; milli += 10) {
      health.observeAnswer(milli * 1_000_000L, 30_000_000);
    }
    assertThat(health.ownSlotsBusy(20 * SECOND), closeTo(3, 0.1));
  }
}
