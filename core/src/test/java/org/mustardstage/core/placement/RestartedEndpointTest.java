package org.mustardstage.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.gateway.RoutingRule;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.manifest.HostAndPort;

/** Guards against what is known of an endpoint that lasts longer than its incarnation. */
class RestartedEndpointTest {
  private static final long NANOS_PER_MILLI = PlacementFixtures.NANOS_PER_MILLI;
  private static final long NANOS_PER_SECOND = PlacementFixtures.NANOS_PER_SECOND;
  private static final int SLOTS = 3;
  private static final RoutingRule READ = PlacementFixtures.rule("read", 1, 300);

  private ServiceScheduler scheduler = newScheduler();
  private long nowNanos = 1_000 * NANOS_PER_SECOND;
  private long nextId;

  private static ServiceScheduler newScheduler() {
    return new ServiceScheduler(
        PlacementFixtures.spec(10),
        PlacementSettings.forSchedulerCount(1),
        PlacementFixtures.roundTrips(),
        PlacementFixtures.regionShiftLimiter(),
        PlacementFixtures.endpointLimits());
  }

  private static RegisteredEndpoint incarnation(long startTimeMillis, int port) {
    return incarnation("e", startTimeMillis, port);
  }

  private static RegisteredEndpoint incarnation(String id, long startTimeMillis, int port) {
    return new RegisteredEndpoint(
        new EndpointId(id),
        PlacementFixtures.SERVICE,
        new HostAndPort("10.0.0.1", port),
        PlacementFixtures.OWN_ZONE,
        SLOTS,
        /* draining= */ false,
        0,
        startTimeMillis);
  }

  /** Where an endpoint starts again. */
  enum Address {
    SAME(80),
    ANOTHER(81);

    private final int port;

    Address(int port) {
      this.port = port;
    }
  }

  private void register(RegisteredEndpoint endpoint) {
    scheduler.setEndpoints(nowNanos, ImmutableList.of(PlacementFixtures.usable(endpoint)));
  }

  private Optional<PlacementDecision.Placed> tryPlace() {
    SchedulerRequest request =
        PlacementFixtures.request(nextId, READ, "object-" + nextId, nowNanos);
    nextId++;
    return scheduler
        .placeOrEnqueue(nowNanos, request)
        .filter(PlacementDecision.Placed.class::isInstance)
        .map(PlacementDecision.Placed.class::cast);
  }

  private PlacementDecision.Placed place() {
    Optional<PlacementDecision.Placed> placed = tryPlace();
    assertThat(placed.isPresent(), is(true));
    return placed.get();
  }

  private void end(PlacementDecision.Placed placed, AttemptResult.Status status) {
    scheduler.release(nowNanos, placed, PlacementFixtures.result(status, NANOS_PER_MILLI));
  }

  /** Opens the circuit, and sends the probe that would close it. */
  private PlacementDecision.Placed probe() {
    end(place(), AttemptResult.Status.UNREACHABLE);
    nowNanos += NANOS_PER_SECOND;
    return place();
  }

  private void assertAllSlotsFree() {
    List<PlacementDecision.Placed> placed = new ArrayList<>();
    for (int i = 0; i < SLOTS; i++) {
      placed.add(place());
    }
    assertThat(tryPlace().isPresent(), is(false));
    placed.forEach(each -> end(each, AttemptResult.Status.ANSWERED));
  }

  /** The result of the probe was dropped, and no other probe was sent. */
  @ParameterizedTest
  @EnumSource
  void endpointThatRestartsDuringAProbeIsUsed(Address address) {
    register(incarnation(1, 80));
    PlacementDecision.Placed probe = probe();
    register(incarnation(2, address.port));
    assertAllSlotsFree();

    end(probe, AttemptResult.Status.UNREACHABLE);
    assertAllSlotsFree();
  }

  @Test
  void endpointThatRestartsDuringAProbeAgainAndAgainIsUsed() {
    register(incarnation(1, 80));
    List<PlacementDecision.Placed> probes = new ArrayList<>();
    for (int start = 2; start < 6; start++) {
      probes.add(probe());
      register(incarnation(start, 80));
    }
    assertAllSlotsFree();
    probes.forEach(each -> end(each, AttemptResult.Status.SILENT));
    assertAllSlotsFree();
  }

  /** Whatever becomes of requests that the old incarnation ran, the new one knows nothing of. */
  @ParameterizedTest
  @EnumSource
  void resultsOfTheOldIncarnationChangeNothing(AttemptResult.Status status) {
    register(incarnation(1, 80));
    PlacementDecision.Placed request = place();
    PlacementDecision.Placed other = place();
    SchedulerRequest hedged = PlacementFixtures.request(nextId++, READ, "hedged", nowNanos);
    PlacementDecision.Placed hedge = scheduler.placeHedge(nowNanos, hedged).orElseThrow();
    register(incarnation(2, 80));

    end(request, status);
    end(hedge, status);
    assertAllSlotsFree();
    PlacementDecision.Placed running = place();
    end(other, status);
    assertThat(tryPlace().isPresent(), is(true));
    assertThat(tryPlace().isPresent(), is(true));
    assertThat("a slot of the old incarnation was freed", tryPlace().isPresent(), is(false));
    end(running, AttemptResult.Status.ANSWERED);
  }

  /** A full, slow endpoint that has asked for a rest starts again. */
  @Test
  void loadSpeedAndRestEndWithTheIncarnation() {
    register(incarnation(1, 80));
    PlacementDecision.Placed request = place();
    scheduler.release(
        nowNanos,
        request,
        new AttemptResult(
            AttemptResult.Status.ANSWERED,
            NANOS_PER_SECOND,
            Optional.empty(),
            Optional.of(new AttemptResult.LoadReport(SLOTS, 50, SLOTS, OptionalDouble.of(9))),
            new EndpointNotice(
                /* leaving= */ true, Optional.of(Duration.ofSeconds(30)), LimitNotice.UNLIMITED)));
    assertThat(tryPlace().isPresent(), is(false));

    register(incarnation(2, 80));
    assertAllSlotsFree();
  }

  /**
   * The rate of a cold endpoint ends with it too; the new one says for itself whether it's cold.
   */
  @Test
  void coldTimeEndsWithTheIncarnation() {
    scheduler.setEndpoints(
        nowNanos,
        ImmutableList.of(new UsableEndpoint(incarnation(1, 80), nowNanos + 3 * NANOS_PER_SECOND)));
    end(place(), AttemptResult.Status.ANSWERED);
    assertThat(tryPlace().isPresent(), is(false));

    register(incarnation(2, 80));
    assertAllSlotsFree();
  }

  /** A service that is declared again gets a new scheduler, and results of the old one arrive. */
  @Test
  void resultsOfPlacementsByAnEarlierSchedulerFreeNoSlots() {
    register(incarnation(1, 80));
    PlacementDecision.Placed earlier = place();
    scheduler = newScheduler();
    register(incarnation(1, 80));
    List<PlacementDecision.Placed> running = ImmutableList.of(place(), place(), place());
    end(earlier, AttemptResult.Status.ANSWERED);

    assertThat(tryPlace().isPresent(), is(false));
    running.forEach(each -> end(each, AttemptResult.Status.ANSWERED));
    assertAllSlotsFree();
  }

  @Test
  void repeatedResultFreesOneSlotOnly() {
    register(incarnation(1, 80));
    PlacementDecision.Placed first = place();
    place();
    place();
    end(first, AttemptResult.Status.ANSWERED);
    end(first, AttemptResult.Status.ANSWERED);

    place();
    assertThat(tryPlace().isPresent(), is(false));
  }

  /** A probe whose result never comes must not keep the endpoint out of use. */
  @Test
  void probeWithoutResultIsGivenUp() {
    register(incarnation(1, 80));
    probe();
    nowNanos += 9 * NANOS_PER_SECOND;
    assertThat(tryPlace().isPresent(), is(false));
    nowNanos += 2 * NANOS_PER_SECOND;

    end(place(), AttemptResult.Status.ANSWERED);
    assertThat(tryPlace().isPresent(), is(true));
  }

  /** A late response of the old incarnation must not undo that the new one is leaving. */
  @Test
  void leavingIncarnationStaysSoWhenAnEarlierOneLeaves() {
    EndpointRegistry registry = new EndpointRegistry();
    registry.updateEntry(nowNanos, incarnation(2, 80));
    EndpointIncarnation later = EndpointIncarnation.of(incarnation(2, 80));
    EndpointIncarnation earlier = EndpointIncarnation.of(incarnation(1, 80));
    assertThat(registry.markLeaving(nowNanos, later), is(true));

    assertThat(registry.markLeaving(nowNanos, earlier), is(false));
    assertThat(registry.isUsable(later.id()), is(false));
  }

  @Test
  void incarnationOfALeavingEndpointIsUsedWhenItStartsAgain() {
    EndpointRegistry registry = new EndpointRegistry();
    registry.updateEntry(nowNanos, incarnation(1, 80));
    registry.markLeaving(nowNanos, EndpointIncarnation.of(incarnation(1, 80)));
    registry.updateEntry(nowNanos, incarnation(2, 80));

    assertThat(registry.isUsable(new EndpointId("e")), is(true));
  }

  /** An endpoint that starts again is not one of those that this VM can't reach. */
  @Test
  void endpointThatRestartsIsNotKnownAsUnreached() {
    ReachedEndpoints reached = new ReachedEndpoints();
    List<RegisteredEndpoint> endpoints = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      endpoints.add(incarnation("e-" + i, 1, 80));
    }
    reached.setEndpoints(endpoints);
    endpoints.subList(0, 5).forEach(each -> reached.recordUnreached(nowNanos, each));
    for (int i = 0; i < 10; i++) {
      nowNanos += 100 * NANOS_PER_MILLI;
      reached.takeProbes(nowNanos);
    }
    assertThat(reached.excluded(), hasItem(new EndpointId("e-0")));

    List<RegisteredEndpoint> before = ImmutableList.copyOf(endpoints.subList(0, 3));
    for (int i = 0; i < 3; i++) {
      endpoints.set(i, incarnation("e-" + i, 2, 80));
    }
    reached.setEndpoints(endpoints);

    assertThat(reached.excluded(), not(hasItem(new EndpointId("e-0"))));
    before.forEach(each -> reached.recordUnreached(nowNanos, each));
    assertThat("results of the old incarnations", reached.excluded(), is(empty()));
  }

  @Test
  void failuresOfEndpointsThatRestartDoNotSpeakAgainstTheLinks() {
    EndpointReachability reachability = new EndpointReachability(new SplittableRandom(1));
    List<RegisteredEndpoint> endpoints =
        ImmutableList.of(incarnation("e-0", 1, 80), incarnation("e-1", 1, 80));
    reachability.setEndpoints(endpoints);
    endpoints.forEach(each -> reachability.recordFailed(nowNanos, each));
    assertThat(reachability.failedEndpoints(), is(2));

    reachability.setEndpoints(
        ImmutableList.of(incarnation("e-0", 2, 80), incarnation("e-1", 1, 80)));

    assertThat(reachability.failedEndpoints(), is(1));
    reachability.recordFailed(nowNanos, incarnation("e-0", 1, 80));
    assertThat("a result of the old incarnation", reachability.failedEndpoints(), is(1));
  }

  @Test
  void namedLimitEndsWithTheIncarnation() {
    EndpointLimits limits = PlacementFixtures.endpointLimits();
    EndpointIncarnation earlier = EndpointIncarnation.of(incarnation(1, 80));
    limits.applyReport(nowNanos, new EndpointLimit(earlier, Optional.of(0.0)));
    assertThat(limits.allowsRequest(nowNanos, incarnation(1, 80)), is(false));

    assertThat(limits.allowsRequest(nowNanos, incarnation(2, 80)), is(true));
  }

  @Test
  void endedIncarnationsAreReportedOnce() {
    CurrentEndpoints current = new CurrentEndpoints();
    current.replace(ImmutableList.of(incarnation("a", 1, 80), incarnation("b", 1, 80)));

    assertThat(
        current.replace(ImmutableList.of(incarnation("a", 2, 80), incarnation("c", 1, 80))),
        hasSize(2));
    assertThat(current.replace(ImmutableList.of(incarnation("a", 2, 80))), hasSize(1));
    assertThat(
        current.find(new EndpointId("a")).orElseThrow(), instanceOf(RegisteredEndpoint.class));
  }
}
