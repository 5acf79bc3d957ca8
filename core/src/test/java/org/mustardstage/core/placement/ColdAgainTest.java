package org.mustardstage.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.gateway.RoutingRule;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.manifest.HostAndPort;

/**
 * Guards against endpoints that become cold again while they are cold, or are warm sooner than they
 * said, and against older entries that replace what is known since.
 */
class ColdAgainTest {
  private static final long NANOS_PER_MILLI = PlacementFixtures.NANOS_PER_MILLI;
  private static final long NANOS_PER_SECOND = PlacementFixtures.NANOS_PER_SECOND;
  private static final long COLD_MILLIS = 3_000;
  private static final int COLD_PER_SECOND = 10;

  /** More than a cold endpoint ever gets, and less than callers ask for in each second. */
  private static final int WARM_PER_SECOND = 50;

  private static final long REQUEST_INTERVAL_MILLIS = 10;
  private static final RoutingRule READ = PlacementFixtures.rule("read", 1, 300);

  private final EndpointRegistry registry = new EndpointRegistry();
  private final List<Long> sentNanos = new ArrayList<>();
  private final ServiceScheduler scheduler =
      new ServiceScheduler(
          PlacementFixtures.spec(COLD_PER_SECOND),
          PlacementSettings.forSchedulerCount(1),
          PlacementFixtures.roundTrips(),
          PlacementFixtures.regionShiftLimiter(),
          PlacementFixtures.endpointLimits());
  private long nowNanos = 1_000 * NANOS_PER_SECOND;
  private long nextId;

  @BeforeEach
  void joinCold() {
    sayInEntry(COLD_MILLIS);
  }

  private static RegisteredEndpoint entry(long coldRemainingMillis, long startTimeMillis) {
    return new RegisteredEndpoint(
        new EndpointId("e"),
        PlacementFixtures.SERVICE,
        new HostAndPort("10.0.0.1", 8_000),
        PlacementFixtures.OWN_ZONE,
        /* slots= */ 9,
        /* draining= */ false,
        coldRemainingMillis,
        startTimeMillis);
  }

  private boolean sayInEntry(long coldRemainingMillis) {
    boolean changed = registry.updateEntry(nowNanos, entry(coldRemainingMillis, 1));
    publish();
    return changed;
  }

  private void sayInResponse(long coldRemainingMillis) {
    boolean known =
        registry.recordColdness(nowNanos, EndpointIncarnation.of(entry(0, 1)), coldRemainingMillis);
    assertThat(known, is(true));
    publish();
  }

  private void publish() {
    scheduler.setEndpoints(nowNanos, registry.usableEndpoints(PlacementFixtures.SERVICE));
  }

  /** Passes time in which callers ask for much more than a cold endpoint may get. */
  private int send(long millis) {
    int before = sentNanos.size();
    for (long passed = 0; passed < millis; passed += REQUEST_INTERVAL_MILLIS) {
      SchedulerRequest request =
          PlacementFixtures.request(nextId, READ, "object-" + nextId, nowNanos);
      nextId++;
      if (scheduler.placeOrEnqueue(nowNanos, request).orElseThrow()
          instanceof PlacementDecision.Placed placed) {
        sentNanos.add(nowNanos);
        scheduler.release(
            nowNanos,
            placed,
            PlacementFixtures.result(AttemptResult.Status.ANSWERED, NANOS_PER_MILLI));
      }
      nowNanos += Math.min(REQUEST_INTERVAL_MILLIS, millis - passed) * NANOS_PER_MILLI;
    }
    return sentNanos.size() - before;
  }

  private void assertCold(long millis) {
    int before = sentNanos.size();
    send(millis);
    List<Long> sent = sentNanos.subList(before, sentNanos.size());
    for (long from : sent) {
      long inSecond = sent.stream().filter(t -> t >= from && t < from + NANOS_PER_SECOND).count();
      assertThat(inSecond, lessThanOrEqualTo((long) COLD_PER_SECOND));
    }
  }

  private void assertWarm() {
    assertThat(send(1_000), greaterThan(WARM_PER_SECOND));
  }

  /**
   * The entry's later end was ignored, so that the endpoint was taken for warm at the first one.
   */
  @ParameterizedTest
  @ValueSource(longs = {10, 1_500, 2_400, 2_990, 3_010, 6_000})
  void endpointThatIsColdAgainIsSpared(long afterMillis) {
    send(afterMillis);
    sayInEntry(COLD_MILLIS);
    assertCold(COLD_MILLIS - REQUEST_INTERVAL_MILLIS);
    send(REQUEST_INTERVAL_MILLIS);
    assertWarm();
  }

  @Test
  void endpointThatIsColdAgainAndAgainIsSpared() {
    for (int i = 0; i < 5; i++) {
      assertCold(2_900);
      sayInEntry(COLD_MILLIS);
    }
    assertCold(COLD_MILLIS - REQUEST_INTERVAL_MILLIS);
    send(REQUEST_INTERVAL_MILLIS);
    assertWarm();
  }

  /** Each statement must not come with a burst of its own. */
  @Test
  void repeatedStatementsDoNotRaiseTheRate() {
    int before = sentNanos.size();
    for (int i = 0; i < 100; i++) {
      sayInEntry(COLD_MILLIS);
      send(20);
    }
    assertThat(sentNanos.size() - before, lessThanOrEqualTo(2 * COLD_PER_SECOND));
  }

  @Test
  void endpointThatIsWarmSoonerIsUsedAtOnce() {
    assertCold(1_000);
    sayInEntry(0);
    assertWarm();
  }

  @Test
  void lengthenedColdTimeIsReportedAndHeartbeatsAreNot() {
    send(1_500);
    assertThat(sayInEntry(1_500), is(false));
    send(900);
    assertThat(sayInEntry(COLD_MILLIS), is(true));
    send(4_000);
    assertThat(sayInEntry(COLD_MILLIS), is(true));
  }

  @Test
  void coldnessSaidInAResponseCounts() {
    send(4_000);
    sayInResponse(COLD_MILLIS);
    assertCold(1_500);
    sayInResponse(COLD_MILLIS);
    assertCold(1_500);
    sayInResponse(0);
    assertWarm();
  }

  /** An entry is read some time after it was written, and a response at once. */
  @Test
  void entryThatMayBeOlderThanAResponseDoesNotShorten() {
    send(4_000);
    sayInResponse(COLD_MILLIS);
    send(500);
    sayInEntry(0);
    assertCold(1_500);
    sayInEntry(0);
    assertWarm();
  }

  @Test
  void entryLengthensWhatAResponseSaid() {
    send(2_000);
    sayInResponse(500);
    sayInEntry(COLD_MILLIS);
    assertCold(COLD_MILLIS - REQUEST_INTERVAL_MILLIS);
  }

  @Test
  void entryOfARestoredRegistryDoesNotShorten() {
    registry.onRegistryRestored(nowNanos);
    sayInEntry(0);
    assertCold(1_500);
  }

  /** What an endpoint says may be older than the failure after which it may have restarted. */
  @Test
  void entryDoesNotShortenTheTimeAfterTheCircuitRecovered() {
    send(4_000);
    SchedulerRequest request = PlacementFixtures.request(nextId++, READ, "x", nowNanos);
    PlacementDecision.Placed failed =
        (PlacementDecision.Placed) scheduler.placeOrEnqueue(nowNanos, request).orElseThrow();
    scheduler.release(
        nowNanos,
        failed,
        PlacementFixtures.result(AttemptResult.Status.UNREACHABLE, NANOS_PER_MILLI));
    nowNanos += NANOS_PER_SECOND;
    // The first of these is the probe.
    assertCold(500);
    sayInEntry(0);
    assertCold(1_500);
  }

  @Test
  void endpointThatIsColdAgainAfterAnEvacuationIsSpared() {
    send(4_000);
    registry.setEvacuatedZones(nowNanos, ImmutableSet.of(PlacementFixtures.OWN_ZONE));
    publish();
    registry.setEvacuatedZones(nowNanos, ImmutableSet.of());
    publish();
    assertCold(2_500);
    sayInEntry(COLD_MILLIS);
    assertCold(COLD_MILLIS - REQUEST_INTERVAL_MILLIS);
    send(REQUEST_INTERVAL_MILLIS);
    assertWarm();
  }

  @Test
  void responseOfAnotherIncarnationChangesNothing() {
    boolean known = registry.recordColdness(nowNanos, EndpointIncarnation.of(entry(0, 2)), 0);
    publish();

    assertThat(known, is(false));
    assertCold(COLD_MILLIS - REQUEST_INTERVAL_MILLIS);
  }
}
