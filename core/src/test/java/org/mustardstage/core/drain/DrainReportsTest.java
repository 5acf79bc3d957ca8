package org.mustardstage.core.drain;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.mustardstage.core.id.EndpointId;

class DrainReportsTest {
  private static final EndpointId ENDPOINT = new EndpointId("e");
  private static final long HOLD = 10;

  private final DrainReports reports = new DrainReports(HOLD);

  @Test
  void leavingCountsAtOnce() {
    assertThat(reports.observe(0, ENDPOINT, true), is(true));
    assertThat(reports.isLeaving(ENDPOINT), is(true));
  }

  @Test
  void oneWordThatItStaysDoesNotBringItBack() {
    reports.observe(0, ENDPOINT, true);
    assertThat(reports.observe(1, ENDPOINT, false), is(false));
    assertThat(reports.observe(10, ENDPOINT, false), is(false));
    assertThat(reports.isLeaving(ENDPOINT), is(true));
  }

  @Test
  void stayingForTheHoldTimeBringsItBack() {
    reports.observe(0, ENDPOINT, true);
    reports.observe(1, ENDPOINT, false);
    assertThat(reports.observe(11, ENDPOINT, false), is(true));
    assertThat(reports.isLeaving(ENDPOINT), is(false));
  }

  @Test
  void aContradictionStartsTheHoldTimeAnew() {
    reports.observe(0, ENDPOINT, true);
    reports.observe(1, ENDPOINT, false);
    reports.observe(9, ENDPOINT, true);
    reports.observe(10, ENDPOINT, false);
    assertThat(reports.observe(12, ENDPOINT, false), is(false));
    assertThat(reports.observe(20, ENDPOINT, false), is(true));
  }

  @Test
  void anEndpointThatFlapsIsHeldForLonger() {
    comeBack(0, HOLD);
    reports.observe(100, ENDPOINT, true);
    reports.observe(101, ENDPOINT, false);
    assertThat(reports.observe(111, ENDPOINT, false), is(false));
    assertThat(reports.observe(121, ENDPOINT, false), is(true));
  }

  @Test
  void silenceKeepsTheLastWord() {
    reports.observe(0, ENDPOINT, true);
    reports.observe(1, ENDPOINT, false);
    assertThat(reports.isLeaving(ENDPOINT), is(true));
  }

  @Test
  void anUnknownEndpointStays() {
    assertThat(reports.isLeaving(ENDPOINT), is(false));
    assertThat(reports.observe(0, ENDPOINT, false), is(false));
  }

  private void comeBack(long startNanos, long holdNanos) {
    reports.observe(startNanos, ENDPOINT, true);
    reports.observe(startNanos, ENDPOINT, false);
    reports.observe(startNanos + holdNanos, ENDPOINT, false);
  }
}
