package org.mustardstage.core.drain;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.mustardstage.core.id.EndpointId;

/**
 * Checks that an endpoint whose reports flap between draining and serving gets no new work until
 * its reports are stable.
 */
class DrainReportsTest {
  private static final EndpointId ENDPOINT = new EndpointId("e");
  private static final long HOLD_NANOS = 10;

  private final DrainReports reports = new DrainReports(HOLD_NANOS);

  @Test
  void drainingReportTakesEffectAtOnce() {
    assertThat(reports.recordReport(0, ENDPOINT, true), is(true));
    assertThat(reports.isDraining(ENDPOINT), is(true));
  }

  @Test
  void servingReportsWithinTheHoldTimeDoNotEndTheDrain() {
    reports.recordReport(0, ENDPOINT, true);
    assertThat(reports.recordReport(1, ENDPOINT, false), is(false));
    assertThat(reports.recordReport(10, ENDPOINT, false), is(false));
    assertThat(reports.isDraining(ENDPOINT), is(true));
  }

  @Test
  void servingReportsForTheHoldTimeEndTheDrain() {
    reports.recordReport(0, ENDPOINT, true);
    reports.recordReport(1, ENDPOINT, false);
    assertThat(reports.recordReport(11, ENDPOINT, false), is(true));
    assertThat(reports.isDraining(ENDPOINT), is(false));
  }

  @Test
  void aDrainingReportRestartsTheHoldTime() {
    reports.recordReport(0, ENDPOINT, true);
    reports.recordReport(1, ENDPOINT, false);
    reports.recordReport(9, ENDPOINT, true);
    reports.recordReport(10, ENDPOINT, false);
    assertThat(reports.recordReport(12, ENDPOINT, false), is(false));
    assertThat(reports.recordReport(20, ENDPOINT, false), is(true));
  }

  @Test
  void holdTimeDoublesForAFlappingEndpoint() {
    drainAndReturn(0, HOLD_NANOS);
    reports.recordReport(100, ENDPOINT, true);
    reports.recordReport(101, ENDPOINT, false);
    assertThat(reports.recordReport(111, ENDPOINT, false), is(false));
    assertThat(reports.recordReport(121, ENDPOINT, false), is(true));
  }

  @Test
  void missingReportsChangeNothing() {
    reports.recordReport(0, ENDPOINT, true);
    reports.recordReport(1, ENDPOINT, false);
    assertThat(reports.isDraining(ENDPOINT), is(true));
  }

  @Test
  void anUnknownEndpointIsNotDraining() {
    assertThat(reports.isDraining(ENDPOINT), is(false));
    assertThat(reports.recordReport(0, ENDPOINT, false), is(false));
  }

  private void drainAndReturn(long startNanos, long holdNanos) {
    reports.recordReport(startNanos, ENDPOINT, true);
    reports.recordReport(startNanos, ENDPOINT, false);
    reports.recordReport(startNanos + holdNanos, ENDPOINT, false);
  }
}
