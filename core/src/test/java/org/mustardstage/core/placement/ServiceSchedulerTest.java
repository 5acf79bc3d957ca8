package org.mustardstage.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;
import static org.mustardstage.core.placement.Scenes.MILLI;
import static org.mustardstage.core.placement.Scenes.SECOND;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.gateway.RoutingRule;
import org.mustardstage.core.id.EndpointId;

class ServiceSchedulerTest {
  private static final RoutingRule READ = Scenes.rule("read", 2, 500);
  private static final RoutingRule BOOKING = Scenes.rule("booking", 1, 500);

  private final ServiceScheduler scheduler =
      new ServiceScheduler(
          Scenes.spec(10),
          PlacementSettings.forSchedulerCount(1),
          Scenes.roundTrips(),
          Scenes.regionShares());
  private long nowNanos = SECOND;
  private long nextId = 1;

  @Test
  void requestsForAnObjectStayAtOneEndpointWhileItHasSlots() {
    scheduler.setEndpoints(nowNanos, Scenes.endpoints(Scenes.NEAR_ZONE, 4, 9));

    Set<EndpointId> used = new HashSet<>();
    for (int i = 0; i < 20; i++) {
      PlacementDecision.Placed placed = place(READ, "roll-7");
      used.add(placed.endpoint().id());
      nowNanos += 100 * MILLI;
      scheduler.release(nowNanos, placed, Scenes.end(AttemptResult.Status.ANSWERED, 100 * MILLI));
    }

    assertThat(used.size(), is(1));
  }

  @Test
  void objectsAreSpreadOverTheEndpointsOfTheOwnZone() {
    scheduler.setEndpoints(
        nowNanos,
        ImmutableList.<UsableEndpoint>builder()
            .addAll(Scenes.endpoints(Scenes.NEAR_ZONE, 3, 9))
            .addAll(Scenes.endpoints(Scenes.FAR_ZONE, 3, 9))
            .build());

    Map<EndpointId, Integer> objects = new HashMap<>();
    for (int i = 0; i < 60; i++) {
      PlacementDecision.Placed placed = place(READ, "object-" + i);
      objects.merge(placed.endpoint().id(), 1, Integer::sum);
      scheduler.release(nowNanos, placed, Scenes.end(AttemptResult.Status.ANSWERED, 50 * MILLI));
    }

    assertThat(objects.size(), is(3));
    objects.forEach((endpoint, count) -> assertThat(count, greaterThan(8)));
    objects.forEach((id, count) -> assertThat(id.value().startsWith("north-a"), is(true)));
  }

  @Test
  void mostEndpointsKeepTheirObjectsWhenOneLeaves() {
    ImmutableList<UsableEndpoint> all = Scenes.endpoints(Scenes.NEAR_ZONE, 4, 9);
    scheduler.setEndpoints(nowNanos, all);
    Map<String, EndpointId> before = homes();

    scheduler.setEndpoints(nowNanos, all.subList(0, 3));
    Map<String, EndpointId> after = homes();

    EndpointId gone = all.get(3).endpoint().id();
    before.forEach(
        (object, home) -> {
          if (!home.equals(gone)) {
            assertThat(object, after.get(object), is(home));
          }
        });
  }

  private Map<String, EndpointId> homes() {
    Map<String, EndpointId> homes = new HashMap<>();
    for (int i = 0; i < 40; i++) {
      PlacementDecision.Placed placed = place(READ, "object-" + i);
      homes.put("object-" + i, placed.endpoint().id());
      scheduler.release(nowNanos, placed, Scenes.end(AttemptResult.Status.ANSWERED, 50 * MILLI));
    }
    return homes;
  }

  @Test
  void requestThatCanNotMakeItsObjectiveIsTurnedAwayAtOnceWithATimeToReturn() {
    scheduler.setEndpoints(nowNanos, Scenes.endpoints(Scenes.NEAR_ZONE, 1, 2));
    fill(2);

    Optional<PlacementDecision> decision = scheduler.placeOrEnqueue(nowNanos, newAsk(READ, "x"));

    assertThat(decision.orElseThrow(), instanceOf(PlacementDecision.Rejected.class));
    PlacementDecision.Rejected away = (PlacementDecision.Rejected) decision.get();
    assertThat(away.reason(), is(RejectionReason.NO_SLOT_IN_TIME));
    assertThat(away.retryAfterMillis(), greaterThan(0L));
  }

  @Test
  void shortWaitForASlotIsWorthIt() {
    teachWorkNanos(100 * MILLI);
    List<PlacementDecision.Placed> running = fill(2);
    assertThat(scheduler.placeOrEnqueue(nowNanos, newAsk(READ, "x")).isEmpty(), is(true));

    nowNanos += 60 * MILLI;
    scheduler.release(
        nowNanos, running.get(0), Scenes.end(AttemptResult.Status.ANSWERED, 60 * MILLI));

    assertThat(scheduler.processQueue(nowNanos).get(0), instanceOf(PlacementDecision.Placed.class));
  }

  @Test
  void urgentRequestGetsTheNextSlot() {
    teachWorkNanos(100 * MILLI);
    List<PlacementDecision.Placed> running = fill(2);
    SchedulerRequest read = newAsk(READ, "x");
    SchedulerRequest booking = newAsk(BOOKING, "y");
    assertThat(scheduler.placeOrEnqueue(nowNanos, read).isEmpty(), is(true));
    assertThat(scheduler.placeOrEnqueue(nowNanos, booking).isEmpty(), is(true));

    nowNanos += 60 * MILLI;
    scheduler.release(
        nowNanos, running.get(0), Scenes.end(AttemptResult.Status.ANSWERED, 60 * MILLI));
    List<PlacementDecision> decisions = scheduler.processQueue(nowNanos);

    assertThat(decisions.stream().map(PlacementDecision::request).toList(), contains(booking));
  }

  @Test
  void requestWhoseWaitUsedUpItsObjectiveIsTurnedAway() {
    teachWorkNanos(100 * MILLI);
    fill(2);
    SchedulerRequest read = newAsk(READ, "x");
    assertThat(scheduler.placeOrEnqueue(nowNanos, read).isEmpty(), is(true));

    nowNanos += 420 * MILLI;
    List<PlacementDecision> decisions = scheduler.processQueue(nowNanos);

    assertThat(decisions.get(0), instanceOf(PlacementDecision.Rejected.class));
    assertThat(scheduler.queueLength(), is(0));
  }

  @Test
  void slotsNeverHoldMoreThanTheyCan() {
    teachWorkNanos(100 * MILLI);
    Map<EndpointId, Integer> running = new HashMap<>();
    List<PlacementDecision.Placed> placed = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      scheduler
          .placeOrEnqueue(nowNanos, newAsk(READ, "object-" + i))
          .filter(PlacementDecision.Placed.class::isInstance)
          .ifPresent(decision -> placed.add((PlacementDecision.Placed) decision));
    }

    placed.forEach(each -> running.merge(each.endpoint().id(), 1, Integer::sum));
    running.values().forEach(count -> assertThat(count, lessThanOrEqualTo(2)));
  }

  @Test
  void endpointThatWasTriedIsNotChosenAgain() {
    scheduler.setEndpoints(nowNanos, Scenes.endpoints(Scenes.NEAR_ZONE, 2, 9));
    PlacementDecision.Placed first = place(READ, "x");
    SchedulerRequest again =
        Scenes.ask(nextId++, READ, "x", nowNanos, Set.of(first.endpoint().id()));

    PlacementDecision.Placed second =
        (PlacementDecision.Placed) scheduler.placeOrEnqueue(nowNanos, again).orElseThrow();

    assertThat(second.endpoint().id(), is(not(first.endpoint().id())));
  }

  @Test
  void coldEndpointGetsNoMoreThanItsRateInAnySecond() {
    scheduler.setEndpoints(
        nowNanos,
        ImmutableList.of(
            new UsableEndpoint(
                Scenes.endpoint("cold", Scenes.NEAR_ZONE, 9), nowNanos + 3 * SECOND)));

    List<Long> sentNanos = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      Optional<PlacementDecision> decision =
          scheduler.placeOrEnqueue(nowNanos, newAsk(READ, "object-" + i));
      if (decision.isPresent() && decision.get() instanceof PlacementDecision.Placed placed) {
        sentNanos.add(nowNanos);
        scheduler.release(nowNanos, placed, Scenes.end(AttemptResult.Status.ANSWERED, MILLI));
      }
      nowNanos += 10 * MILLI;
    }

    for (long from : sentNanos) {
      long inSecond = sentNanos.stream().filter(t -> t >= from && t < from + SECOND).count();
      assertThat(inSecond, lessThanOrEqualTo(10L));
    }
    assertThat(sentNanos, is(not(empty())));
  }

  /** Two VMs that each believe to be in charge stay within one and a half times the rate. */
  @Test
  void twoSchedulersInChargeStayWithinTheRateTogether() {
    ServiceScheduler other =
        new ServiceScheduler(
            Scenes.spec(10),
            PlacementSettings.forSchedulerCount(2),
            Scenes.roundTrips(),
            Scenes.regionShares());
    ImmutableList<UsableEndpoint> cold =
        ImmutableList.of(
            new UsableEndpoint(
                Scenes.endpoint("cold", Scenes.NEAR_ZONE, 9), nowNanos + 3 * SECOND));
    scheduler.setEndpoints(nowNanos, cold);
    other.setEndpoints(nowNanos, cold);

    List<Long> sentNanos = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      for (ServiceScheduler each : List.of(scheduler, other)) {
        Optional<PlacementDecision> decision =
            each.placeOrEnqueue(nowNanos, newAsk(READ, "object-" + i));
        if (decision.isPresent() && decision.get() instanceof PlacementDecision.Placed placed) {
          sentNanos.add(nowNanos);
          each.release(nowNanos, placed, Scenes.end(AttemptResult.Status.ANSWERED, MILLI));
        }
      }
      nowNanos += 10 * MILLI;
    }

    for (long from : sentNanos) {
      long inSecond = sentNanos.stream().filter(t -> t >= from && t < from + SECOND).count();
      assertThat(inSecond, lessThanOrEqualTo(15L));
    }
  }

  @Test
  void coldEndpointIsLeftToTheSchedulerInCharge() {
    scheduler.setColdEndpointFilter(endpoint -> false);
    scheduler.setEndpoints(
        nowNanos,
        ImmutableList.of(
            new UsableEndpoint(Scenes.endpoint("cold", Scenes.NEAR_ZONE, 9), nowNanos + 3 * SECOND),
            Scenes.usable(Scenes.endpoint("warm", Scenes.SIBLING_ZONE, 9))));

    for (int i = 0; i < 9; i++) {
      assertThat(place(READ, "object-" + i).endpoint().id().value(), is("warm"));
    }
  }

  @Test
  void endpointThatCanNotBeReachedIsPausedAndColdWhenItIsBack() {
    scheduler.setEndpoints(nowNanos, Scenes.endpoints(Scenes.NEAR_ZONE, 1, 9));
    PlacementDecision.Placed lost = place(READ, "x");
    scheduler.release(nowNanos, lost, Scenes.end(AttemptResult.Status.UNREACHABLE, MILLI));

    assertThat(
        scheduler.placeOrEnqueue(nowNanos, newAsk(READ, "x")).orElseThrow(),
        instanceOf(PlacementDecision.Rejected.class));

    nowNanos += SECOND;
    PlacementDecision.Placed trial = place(READ, "x");
    assertThat(
        scheduler.placeOrEnqueue(nowNanos, newAsk(READ, "y")).orElseThrow(),
        instanceOf(PlacementDecision.Rejected.class));
    scheduler.release(nowNanos, trial, Scenes.end(AttemptResult.Status.ANSWERED, MILLI));

    int placed = 0;
    for (int i = 0; i < 20; i++) {
      if (scheduler.placeOrEnqueue(nowNanos, newAsk(READ, "z" + i)).orElseThrow()
          instanceof PlacementDecision.Placed) {
        placed++;
      }
    }
    assertThat(placed, lessThanOrEqualTo(2));
  }

  @Test
  void restartUnderTheSameIdFreesTheSlots() {
    scheduler.setEndpoints(
        nowNanos, List.of(Scenes.usable(Scenes.endpoint("e", Scenes.NEAR_ZONE, 2, 1))));
    List<PlacementDecision.Placed> lost = fill(2);

    scheduler.setEndpoints(
        nowNanos, List.of(Scenes.usable(Scenes.endpoint("e", Scenes.NEAR_ZONE, 2, 2))));
    lost.forEach(
        placed ->
            scheduler.release(nowNanos, placed, Scenes.end(AttemptResult.Status.SPOILED, MILLI)));

    assertThat(fill(2), hasSize(2));
  }

  @Test
  void fullRegionSendsToAnotherOneThatAnswersInTime() {
    RoutingRule slow = Scenes.rule("slow", 2, 1_000);
    scheduler.setEndpoints(
        nowNanos,
        ImmutableList.<UsableEndpoint>builder()
            .addAll(Scenes.endpoints(Scenes.NEAR_ZONE, 1, 2))
            .addAll(Scenes.endpoints(Scenes.FAR_ZONE, 1, 2))
            .build());
    for (int i = 0; i < 4; i++) {
      PlacementDecision.Placed placed = place(slow, "teach-" + i);
      scheduler.release(nowNanos, placed, Scenes.end(AttemptResult.Status.ANSWERED, 400 * MILLI));
    }

    List<String> zones = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      zones.add(place(slow, "object-" + i).endpoint().zone().value());
    }

    assertThat(zones, contains("north-a", "north-a", "south-a"));
  }

  /** An endpoint that may not be sent work hands its objects to the next one of its region. */
  @Test
  void pausedEndpointHandsItsObjectsToTheNextOneOfTheRegion() {
    scheduler.setEndpoints(
        nowNanos,
        ImmutableList.<UsableEndpoint>builder()
            .addAll(Scenes.endpoints(Scenes.NEAR_ZONE, 3, 9))
            .addAll(Scenes.endpoints(Scenes.FAR_ZONE, 3, 9))
            .build());
    PlacementDecision.Placed first = place(READ, "roll-7");
    scheduler.release(nowNanos, first, Scenes.end(AttemptResult.Status.UNREACHABLE, MILLI));

    PlacementDecision.Placed second = place(READ, "roll-7");

    assertThat(second.endpoint().id(), is(not(first.endpoint().id())));
    assertThat(second.endpoint().zone(), is(Scenes.NEAR_ZONE));
  }

  /** Half of the endpoints of the region are emptied while the others are full. */
  @Test
  void requestsOfAnEvacuatedZoneMoveToAnotherRegionAtOnce() {
    ImmutableList<UsableEndpoint> stay =
        ImmutableList.<UsableEndpoint>builder()
            .addAll(Scenes.endpoints(Scenes.NEAR_ZONE, 1, 2))
            .addAll(Scenes.endpoints(Scenes.FAR_ZONE, 4, 9))
            .build();
    scheduler.setEndpoints(
        nowNanos,
        ImmutableList.<UsableEndpoint>builder()
            .addAll(stay)
            .addAll(Scenes.endpoints(Scenes.SIBLING_ZONE, 1, 9))
            .build());
    RoutingRule slow = Scenes.rule("slow", 2, 2_000);

    scheduler.setEndpoints(nowNanos, stay);

    int away = 0;
    for (int i = 0; i < 12; i++) {
      away += place(slow, "object-" + i).endpoint().zone().equals(Scenes.FAR_ZONE) ? 1 : 0;
    }
    assertThat(away, is(10));
  }

  private void teachWorkNanos(long nanos) {
    scheduler.setEndpoints(nowNanos, Scenes.endpoints(Scenes.NEAR_ZONE, 1, 2));
    for (int i = 0; i < 40; i++) {
      for (RoutingRule rule : List.of(READ, BOOKING)) {
        PlacementDecision.Placed placed = place(rule, i % 2 == 0 ? "x" : "y" + i);
        scheduler.release(nowNanos, placed, Scenes.end(AttemptResult.Status.ANSWERED, nanos));
      }
    }
  }

  private List<PlacementDecision.Placed> fill(int slots) {
    List<PlacementDecision.Placed> placed = new ArrayList<>();
    for (int i = 0; i < slots; i++) {
      placed.add(place(READ, "fill-" + i));
    }
    return placed;
  }

  private PlacementDecision.Placed place(RoutingRule rule, String object) {
    PlacementDecision decision =
        scheduler.placeOrEnqueue(nowNanos, newAsk(rule, object)).orElseThrow();
    assertThat(decision, instanceOf(PlacementDecision.Placed.class));
    return (PlacementDecision.Placed) decision;
  }

  private SchedulerRequest newAsk(RoutingRule rule, String object) {
    return Scenes.ask(nextId++, rule, object, nowNanos);
  }
}
