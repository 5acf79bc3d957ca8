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
import org.mustardstage.core.gateway.Rule;
import org.mustardstage.core.id.EndpointId;

class ServiceSchedulerTest {
  private static final Rule READ = Scenes.rule("read", 2, 500);
  private static final Rule BOOKING = Scenes.rule("booking", 1, 500);

  private final ServiceScheduler scheduler =
      new ServiceScheduler(
          Scenes.spec(10),
          PlacementSettings.sharedBy(1),
          Scenes.roundTrips(),
          Scenes.regionShares());
  private long nowNanos = SECOND;
  private long nextId = 1;

  @Test
  void requestsForAnObjectStayAtOneEndpointWhileItHasSlots() {
    scheduler.onEndpoints(nowNanos, Scenes.endpoints(Scenes.NEAR_ZONE, 4, 9));

    Set<EndpointId> used = new HashSet<>();
    for (int i = 0; i < 20; i++) {
      Decision.Placed placed = place(READ, "roll-7");
      used.add(placed.endpoint().id());
      nowNanos += 100 * MILLI;
      scheduler.release(nowNanos, placed, Scenes.end(UseEnd.Result.ANSWERED, 100 * MILLI));
    }

    assertThat(used.size(), is(1));
  }

  @Test
  void objectsAreSpreadOverTheEndpointsOfTheOwnZone() {
    scheduler.onEndpoints(
        nowNanos,
        ImmutableList.<UsableEndpoint>builder()
            .addAll(Scenes.endpoints(Scenes.NEAR_ZONE, 3, 9))
            .addAll(Scenes.endpoints(Scenes.FAR_ZONE, 3, 9))
            .build());

    Map<EndpointId, Integer> objects = new HashMap<>();
    for (int i = 0; i < 60; i++) {
      Decision.Placed placed = place(READ, "object-" + i);
      objects.merge(placed.endpoint().id(), 1, Integer::sum);
      scheduler.release(nowNanos, placed, Scenes.end(UseEnd.Result.ANSWERED, 50 * MILLI));
    }

    assertThat(objects.size(), is(3));
    objects.forEach((endpoint, count) -> assertThat(count, greaterThan(8)));
    objects.forEach((id, count) -> assertThat(id.value().startsWith("north-a"), is(true)));
  }

  @Test
  void mostEndpointsKeepTheirObjectsWhenOneLeaves() {
    ImmutableList<UsableEndpoint> all = Scenes.endpoints(Scenes.NEAR_ZONE, 4, 9);
    scheduler.onEndpoints(nowNanos, all);
    Map<String, EndpointId> before = homes();

    scheduler.onEndpoints(nowNanos, all.subList(0, 3));
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
      Decision.Placed placed = place(READ, "object-" + i);
      homes.put("object-" + i, placed.endpoint().id());
      scheduler.release(nowNanos, placed, Scenes.end(UseEnd.Result.ANSWERED, 50 * MILLI));
    }
    return homes;
  }

  @Test
  void requestThatCanNotMakeItsObjectiveIsTurnedAwayAtOnceWithATimeToReturn() {
    scheduler.onEndpoints(nowNanos, Scenes.endpoints(Scenes.NEAR_ZONE, 1, 2));
    fill(2);

    Optional<Decision> decision = scheduler.offer(nowNanos, newAsk(READ, "x"));

    assertThat(decision.orElseThrow(), instanceOf(Decision.TurnedAway.class));
    Decision.TurnedAway away = (Decision.TurnedAway) decision.get();
    assertThat(away.reason(), is(TurnAwayReason.NO_SLOT_IN_TIME));
    assertThat(away.retryAfterMillis(), greaterThan(0L));
  }

  @Test
  void shortWaitForASlotIsWorthIt() {
    teachWorkNanos(100 * MILLI);
    List<Decision.Placed> running = fill(2);
    assertThat(scheduler.offer(nowNanos, newAsk(READ, "x")).isEmpty(), is(true));

    nowNanos += 60 * MILLI;
    scheduler.release(nowNanos, running.get(0), Scenes.end(UseEnd.Result.ANSWERED, 60 * MILLI));

    assertThat(scheduler.onTick(nowNanos).get(0), instanceOf(Decision.Placed.class));
  }

  @Test
  void urgentRequestGetsTheNextSlot() {
    teachWorkNanos(100 * MILLI);
    List<Decision.Placed> running = fill(2);
    Ask read = newAsk(READ, "x");
    Ask booking = newAsk(BOOKING, "y");
    assertThat(scheduler.offer(nowNanos, read).isEmpty(), is(true));
    assertThat(scheduler.offer(nowNanos, booking).isEmpty(), is(true));

    nowNanos += 60 * MILLI;
    scheduler.release(nowNanos, running.get(0), Scenes.end(UseEnd.Result.ANSWERED, 60 * MILLI));
    List<Decision> decisions = scheduler.onTick(nowNanos);

    assertThat(decisions.stream().map(Decision::ask).toList(), contains(booking));
  }

  @Test
  void requestWhoseWaitUsedUpItsObjectiveIsTurnedAway() {
    teachWorkNanos(100 * MILLI);
    fill(2);
    Ask read = newAsk(READ, "x");
    assertThat(scheduler.offer(nowNanos, read).isEmpty(), is(true));

    nowNanos += 420 * MILLI;
    List<Decision> decisions = scheduler.onTick(nowNanos);

    assertThat(decisions.get(0), instanceOf(Decision.TurnedAway.class));
    assertThat(scheduler.waitingCount(), is(0));
  }

  @Test
  void slotsNeverHoldMoreThanTheyCan() {
    teachWorkNanos(100 * MILLI);
    Map<EndpointId, Integer> running = new HashMap<>();
    List<Decision.Placed> placed = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      scheduler
          .offer(nowNanos, newAsk(READ, "object-" + i))
          .filter(Decision.Placed.class::isInstance)
          .ifPresent(decision -> placed.add((Decision.Placed) decision));
    }

    placed.forEach(each -> running.merge(each.endpoint().id(), 1, Integer::sum));
    running.values().forEach(count -> assertThat(count, lessThanOrEqualTo(2)));
  }

  @Test
  void endpointThatWasTriedIsNotChosenAgain() {
    scheduler.onEndpoints(nowNanos, Scenes.endpoints(Scenes.NEAR_ZONE, 2, 9));
    Decision.Placed first = place(READ, "x");
    Ask again = Scenes.ask(nextId++, READ, "x", nowNanos, Set.of(first.endpoint().id()));

    Decision.Placed second = (Decision.Placed) scheduler.offer(nowNanos, again).orElseThrow();

    assertThat(second.endpoint().id(), is(not(first.endpoint().id())));
  }

  @Test
  void coldEndpointGetsNoMoreThanItsRateInAnySecond() {
    scheduler.onEndpoints(
        nowNanos,
        ImmutableList.of(
            new UsableEndpoint(
                Scenes.endpoint("cold", Scenes.NEAR_ZONE, 9), nowNanos + 3 * SECOND)));

    List<Long> sentNanos = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      Optional<Decision> decision = scheduler.offer(nowNanos, newAsk(READ, "object-" + i));
      if (decision.isPresent() && decision.get() instanceof Decision.Placed placed) {
        sentNanos.add(nowNanos);
        scheduler.release(nowNanos, placed, Scenes.end(UseEnd.Result.ANSWERED, MILLI));
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
            PlacementSettings.sharedBy(2),
            Scenes.roundTrips(),
            Scenes.regionShares());
    ImmutableList<UsableEndpoint> cold =
        ImmutableList.of(
            new UsableEndpoint(
                Scenes.endpoint("cold", Scenes.NEAR_ZONE, 9), nowNanos + 3 * SECOND));
    scheduler.onEndpoints(nowNanos, cold);
    other.onEndpoints(nowNanos, cold);

    List<Long> sentNanos = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      for (ServiceScheduler each : List.of(scheduler, other)) {
        Optional<Decision> decision = each.offer(nowNanos, newAsk(READ, "object-" + i));
        if (decision.isPresent() && decision.get() instanceof Decision.Placed placed) {
          sentNanos.add(nowNanos);
          each.release(nowNanos, placed, Scenes.end(UseEnd.Result.ANSWERED, MILLI));
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
    scheduler.setColdInCharge(endpoint -> false);
    scheduler.onEndpoints(
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
    scheduler.onEndpoints(nowNanos, Scenes.endpoints(Scenes.NEAR_ZONE, 1, 9));
    Decision.Placed lost = place(READ, "x");
    scheduler.release(nowNanos, lost, Scenes.end(UseEnd.Result.UNREACHABLE, MILLI));

    assertThat(
        scheduler.offer(nowNanos, newAsk(READ, "x")).orElseThrow(),
        instanceOf(Decision.TurnedAway.class));

    nowNanos += SECOND;
    Decision.Placed trial = place(READ, "x");
    assertThat(
        scheduler.offer(nowNanos, newAsk(READ, "y")).orElseThrow(),
        instanceOf(Decision.TurnedAway.class));
    scheduler.release(nowNanos, trial, Scenes.end(UseEnd.Result.ANSWERED, MILLI));

    int placed = 0;
    for (int i = 0; i < 20; i++) {
      if (scheduler.offer(nowNanos, newAsk(READ, "z" + i)).orElseThrow()
          instanceof Decision.Placed) {
        placed++;
      }
    }
    assertThat(placed, lessThanOrEqualTo(2));
  }

  @Test
  void restartUnderTheSameIdFreesTheSlots() {
    scheduler.onEndpoints(
        nowNanos, List.of(Scenes.usable(Scenes.endpoint("e", Scenes.NEAR_ZONE, 2, 1))));
    List<Decision.Placed> lost = fill(2);

    scheduler.onEndpoints(
        nowNanos, List.of(Scenes.usable(Scenes.endpoint("e", Scenes.NEAR_ZONE, 2, 2))));
    lost.forEach(
        placed -> scheduler.release(nowNanos, placed, Scenes.end(UseEnd.Result.SPOILED, MILLI)));

    assertThat(fill(2), hasSize(2));
  }

  @Test
  void fullRegionSendsToAnotherOneThatAnswersInTime() {
    Rule slow = Scenes.rule("slow", 2, 1_000);
    scheduler.onEndpoints(
        nowNanos,
        ImmutableList.<UsableEndpoint>builder()
            .addAll(Scenes.endpoints(Scenes.NEAR_ZONE, 1, 2))
            .addAll(Scenes.endpoints(Scenes.FAR_ZONE, 1, 2))
            .build());
    for (int i = 0; i < 4; i++) {
      Decision.Placed placed = place(slow, "teach-" + i);
      scheduler.release(nowNanos, placed, Scenes.end(UseEnd.Result.ANSWERED, 400 * MILLI));
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
    scheduler.onEndpoints(
        nowNanos,
        ImmutableList.<UsableEndpoint>builder()
            .addAll(Scenes.endpoints(Scenes.NEAR_ZONE, 3, 9))
            .addAll(Scenes.endpoints(Scenes.FAR_ZONE, 3, 9))
            .build());
    Decision.Placed first = place(READ, "roll-7");
    scheduler.release(nowNanos, first, Scenes.end(UseEnd.Result.UNREACHABLE, MILLI));

    Decision.Placed second = place(READ, "roll-7");

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
    scheduler.onEndpoints(
        nowNanos,
        ImmutableList.<UsableEndpoint>builder()
            .addAll(stay)
            .addAll(Scenes.endpoints(Scenes.SIBLING_ZONE, 1, 9))
            .build());
    Rule slow = Scenes.rule("slow", 2, 2_000);

    scheduler.onEndpoints(nowNanos, stay);

    int away = 0;
    for (int i = 0; i < 12; i++) {
      away += place(slow, "object-" + i).endpoint().zone().equals(Scenes.FAR_ZONE) ? 1 : 0;
    }
    assertThat(away, is(10));
  }

  private void teachWorkNanos(long nanos) {
    scheduler.onEndpoints(nowNanos, Scenes.endpoints(Scenes.NEAR_ZONE, 1, 2));
    for (int i = 0; i < 40; i++) {
      for (Rule rule : List.of(READ, BOOKING)) {
        Decision.Placed placed = place(rule, i % 2 == 0 ? "x" : "y" + i);
        scheduler.release(nowNanos, placed, Scenes.end(UseEnd.Result.ANSWERED, nanos));
      }
    }
  }

  private List<Decision.Placed> fill(int slots) {
    List<Decision.Placed> placed = new ArrayList<>();
    for (int i = 0; i < slots; i++) {
      placed.add(place(READ, "fill-" + i));
    }
    return placed;
  }

  private Decision.Placed place(Rule rule, String object) {
    Decision decision = scheduler.offer(nowNanos, newAsk(rule, object)).orElseThrow();
    assertThat(decision, instanceOf(Decision.Placed.class));
    return (Decision.Placed) decision;
  }

  private Ask newAsk(Rule rule, String object) {
    return Scenes.ask(nextId++, rule, object, nowNanos);
  }
}
