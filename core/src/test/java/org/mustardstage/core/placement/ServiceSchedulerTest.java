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
import static org.mustardstage.core.placement.PlacementFixtures.NANOS_PER_MILLI;
import static org.mustardstage.core.placement.PlacementFixtures.NANOS_PER_SECOND;

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

/**
 * Guards against overloaded or cold endpoints, affinity keys that move without need, and requests
 * that are queued although their response would be too late.
 */
class ServiceSchedulerTest {
  private static final RoutingRule READ = PlacementFixtures.rule("read", 2, 500);
  private static final RoutingRule BOOKING = PlacementFixtures.rule("booking", 1, 500);

  private final ServiceScheduler scheduler =
      new ServiceScheduler(
          PlacementFixtures.spec(10),
          PlacementSettings.forSchedulerCount(1),
          PlacementFixtures.roundTrips(),
          PlacementFixtures.regionShiftLimiter(),
          PlacementFixtures.endpointLimits());
  private long nowNanos = NANOS_PER_SECOND;
  private long nextId = 1;

  /** Around a hand-over two VMs believe that they are the one that sends to a cold endpoint. */
  @Test
  void twoVmsThatBothSendToAColdEndpointStayWithinItsLimit() {
    int coldPerSecond = 10;
    List<ServiceScheduler> vms = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      ServiceScheduler vm =
          new ServiceScheduler(
              PlacementFixtures.spec(coldPerSecond),
              PlacementSettings.forSchedulerCount(1),
              PlacementFixtures.roundTrips(),
              PlacementFixtures.regionShiftLimiter(),
              PlacementFixtures.endpointLimits());
      UsableEndpoint warm =
          PlacementFixtures.endpoints(PlacementFixtures.OWN_ZONE, 1, 9).getFirst();
      vm.setEndpoints(
          nowNanos,
          ImmutableList.of(new UsableEndpoint(warm.endpoint(), nowNanos + 100 * NANOS_PER_SECOND)));
      vms.add(vm);
    }
    int placed = 0;
    int seconds = 5;
    for (int i = 0; i < 1_000 * seconds; i++) {
      nowNanos += NANOS_PER_MILLI;
      for (ServiceScheduler vm : vms) {
        SchedulerRequest request =
            new SchedulerRequest(
                nextId++,
                READ,
                Optional.empty(),
                Optional.empty(),
                nowNanos,
                nowNanos + NANOS_PER_SECOND,
                nowNanos + NANOS_PER_SECOND,
                Set.of());
        Optional<PlacementDecision> decision = vm.placeOrEnqueue(nowNanos, request);
        if (decision.orElse(null) instanceof PlacementDecision.Placed sent) {
          placed++;
          vm.release(
              nowNanos,
              sent,
              PlacementFixtures.result(AttemptResult.Status.ANSWERED, 10 * NANOS_PER_MILLI));
        } else {
          vm.cancel(request);
        }
      }
    }

    assertThat(placed, is(greaterThan(0)));
    assertThat(placed, is(lessThanOrEqualTo((int) (1.5 * coldPerSecond * seconds))));
  }

  @Test
  void requestsForOneKeyStayAtOneEndpointWhileItHasFreeSlots() {
    scheduler.setEndpoints(nowNanos, PlacementFixtures.endpoints(PlacementFixtures.OWN_ZONE, 4, 9));

    Set<EndpointId> used = new HashSet<>();
    for (int i = 0; i < 20; i++) {
      PlacementDecision.Placed placed = place(READ, "roll-7");
      used.add(placed.endpoint().id());
      nowNanos += 100 * NANOS_PER_MILLI;
      scheduler.release(
          nowNanos,
          placed,
          PlacementFixtures.result(AttemptResult.Status.ANSWERED, 100 * NANOS_PER_MILLI));
    }

    assertThat(used.size(), is(1));
  }

  @Test
  void keysAreSpreadOverEndpointsOfOwnZone() {
    scheduler.setEndpoints(
        nowNanos,
        ImmutableList.<UsableEndpoint>builder()
            .addAll(PlacementFixtures.endpoints(PlacementFixtures.OWN_ZONE, 3, 9))
            .addAll(PlacementFixtures.endpoints(PlacementFixtures.REMOTE_ZONE, 3, 9))
            .build());

    Map<EndpointId, Integer> objects = new HashMap<>();
    for (int i = 0; i < 60; i++) {
      PlacementDecision.Placed placed = place(READ, "object-" + i);
      objects.merge(placed.endpoint().id(), 1, Integer::sum);
      scheduler.release(
          nowNanos,
          placed,
          PlacementFixtures.result(AttemptResult.Status.ANSWERED, 50 * NANOS_PER_MILLI));
    }

    assertThat(objects.size(), is(3));
    objects.forEach((endpoint, count) -> assertThat(count, greaterThan(8)));
    objects.forEach((id, count) -> assertThat(id.value().startsWith("north-a"), is(true)));
  }

  @Test
  void remainingEndpointsKeepTheirKeysWhenOneLeaves() {
    ImmutableList<UsableEndpoint> all =
        PlacementFixtures.endpoints(PlacementFixtures.OWN_ZONE, 4, 9);
    scheduler.setEndpoints(nowNanos, all);
    Map<String, EndpointId> before = endpointByKey();

    scheduler.setEndpoints(nowNanos, all.subList(0, 3));
    Map<String, EndpointId> after = endpointByKey();

    EndpointId removed = all.get(3).endpoint().id();
    before.forEach(
        (key, endpoint) -> {
          if (!endpoint.equals(removed)) {
            assertThat(key, after.get(key), is(endpoint));
          }
        });
  }

  private Map<String, EndpointId> endpointByKey() {
    Map<String, EndpointId> endpoints = new HashMap<>();
    for (int i = 0; i < 40; i++) {
      PlacementDecision.Placed placed = place(READ, "object-" + i);
      endpoints.put("object-" + i, placed.endpoint().id());
      scheduler.release(
          nowNanos,
          placed,
          PlacementFixtures.result(AttemptResult.Status.ANSWERED, 50 * NANOS_PER_MILLI));
    }
    return endpoints;
  }

  @Test
  void requestThatCannotMeetObjectiveIsRejectedImmediatelyWithRetryAfter() {
    scheduler.setEndpoints(nowNanos, PlacementFixtures.endpoints(PlacementFixtures.OWN_ZONE, 1, 2));
    fillSlots(2);

    Optional<PlacementDecision> decision =
        scheduler.placeOrEnqueue(nowNanos, newRequest(READ, "x"));

    assertThat(decision.orElseThrow(), instanceOf(PlacementDecision.Rejected.class));
    PlacementDecision.Rejected rejected = (PlacementDecision.Rejected) decision.get();
    assertThat(rejected.reason(), is(RejectionReason.NO_SLOT_IN_TIME));
    assertThat(rejected.retryAfterMillis(), greaterThan(0L));
  }

  @Test
  void requestIsQueuedWhenSlotFreesInTime() {
    trainServiceTime(100 * NANOS_PER_MILLI);
    List<PlacementDecision.Placed> running = fillSlots(2);
    assertThat(scheduler.placeOrEnqueue(nowNanos, newRequest(READ, "x")).isEmpty(), is(true));

    nowNanos += 60 * NANOS_PER_MILLI;
    scheduler.release(
        nowNanos,
        running.get(0),
        PlacementFixtures.result(AttemptResult.Status.ANSWERED, 60 * NANOS_PER_MILLI));

    assertThat(scheduler.processQueue(nowNanos).get(0), instanceOf(PlacementDecision.Placed.class));
  }

  @Test
  void requestWithHigherPriorityGetsNextSlot() {
    trainServiceTime(100 * NANOS_PER_MILLI);
    List<PlacementDecision.Placed> running = fillSlots(2);
    SchedulerRequest read = newRequest(READ, "x");
    SchedulerRequest booking = newRequest(BOOKING, "y");
    assertThat(scheduler.placeOrEnqueue(nowNanos, read).isEmpty(), is(true));
    assertThat(scheduler.placeOrEnqueue(nowNanos, booking).isEmpty(), is(true));

    nowNanos += 60 * NANOS_PER_MILLI;
    scheduler.release(
        nowNanos,
        running.get(0),
        PlacementFixtures.result(AttemptResult.Status.ANSWERED, 60 * NANOS_PER_MILLI));
    List<PlacementDecision> decisions = scheduler.processQueue(nowNanos);

    assertThat(decisions.stream().map(PlacementDecision::request).toList(), contains(booking));
  }

  @Test
  void queuedRequestIsRejectedWhenObjectiveCannotBeMet() {
    trainServiceTime(100 * NANOS_PER_MILLI);
    fillSlots(2);
    SchedulerRequest read = newRequest(READ, "x");
    assertThat(scheduler.placeOrEnqueue(nowNanos, read).isEmpty(), is(true));

    nowNanos += 420 * NANOS_PER_MILLI;
    List<PlacementDecision> decisions = scheduler.processQueue(nowNanos);

    assertThat(decisions.get(0), instanceOf(PlacementDecision.Rejected.class));
    assertThat(scheduler.queueLength(), is(0));
  }

  /** The caller of a request may wait for less time than the objective allows. */
  @Test
  void queuedRequestIsNotHeldPastDeadlineOfItsCaller() {
    trainServiceTime(100 * NANOS_PER_MILLI);
    fillSlots(2);
    SchedulerRequest request = newRequest(READ, "x");
    long deadlineNanos = nowNanos + 250 * NANOS_PER_MILLI;
    SchedulerRequest impatient =
        new SchedulerRequest(
            request.id(),
            READ,
            Optional.empty(),
            request.affinityKey(),
            nowNanos,
            request.objectiveDeadlineNanos(),
            deadlineNanos,
            Set.of());
    assertThat(scheduler.placeOrEnqueue(nowNanos, impatient).isEmpty(), is(true));

    nowNanos = deadlineNanos - 50 * NANOS_PER_MILLI;
    assertThat(scheduler.processQueue(nowNanos), hasSize(1));
  }

  @Test
  void requestsFarBackInQueueAreRejectedWhenOverdue() {
    trainServiceTime(NANOS_PER_MILLI);
    fillSlots(2);
    for (int i = 0; i < 70; i++) {
      scheduler.placeOrEnqueue(nowNanos, newRequest(READ, "x"));
    }
    assertThat(scheduler.queueLength(), greaterThan(64));

    nowNanos += 501 * NANOS_PER_MILLI;
    scheduler.processQueue(nowNanos);
    assertThat(scheduler.queueLength(), is(0));
  }

  @Test
  void runningRequestsNeverExceedSlots() {
    trainServiceTime(100 * NANOS_PER_MILLI);
    Map<EndpointId, Integer> running = new HashMap<>();
    List<PlacementDecision.Placed> placed = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      scheduler
          .placeOrEnqueue(nowNanos, newRequest(READ, "object-" + i))
          .filter(PlacementDecision.Placed.class::isInstance)
          .ifPresent(decision -> placed.add((PlacementDecision.Placed) decision));
    }

    placed.forEach(each -> running.merge(each.endpoint().id(), 1, Integer::sum));
    running.values().forEach(count -> assertThat(count, lessThanOrEqualTo(2)));
  }

  @Test
  void excludedEndpointIsNotChosen() {
    scheduler.setEndpoints(nowNanos, PlacementFixtures.endpoints(PlacementFixtures.OWN_ZONE, 2, 9));
    PlacementDecision.Placed first = place(READ, "x");
    SchedulerRequest retry =
        PlacementFixtures.request(nextId++, READ, "x", nowNanos, Set.of(first.endpoint().id()));

    PlacementDecision.Placed second =
        (PlacementDecision.Placed) scheduler.placeOrEnqueue(nowNanos, retry).orElseThrow();

    assertThat(second.endpoint().id(), is(not(first.endpoint().id())));
  }

  @Test
  void coldEndpointStaysWithinItsRateInAnySecond() {
    scheduler.setEndpoints(
        nowNanos,
        ImmutableList.of(
            new UsableEndpoint(
                PlacementFixtures.endpoint("cold", PlacementFixtures.OWN_ZONE, 9),
                nowNanos + 3 * NANOS_PER_SECOND)));

    List<Long> sentNanos = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      Optional<PlacementDecision> decision =
          scheduler.placeOrEnqueue(nowNanos, newRequest(READ, "object-" + i));
      if (decision.isPresent() && decision.get() instanceof PlacementDecision.Placed placed) {
        sentNanos.add(nowNanos);
        scheduler.release(
            nowNanos,
            placed,
            PlacementFixtures.result(AttemptResult.Status.ANSWERED, NANOS_PER_MILLI));
      }
      nowNanos += 10 * NANOS_PER_MILLI;
    }

    for (long from : sentNanos) {
      long inSecond =
          sentNanos.stream().filter(t -> t >= from && t < from + NANOS_PER_SECOND).count();
      assertThat(inSecond, lessThanOrEqualTo(10L));
    }
    assertThat(sentNanos, is(not(empty())));
  }

  /** Two VMs that both consider themselves responsible stay within 1.5 times the declared rate. */
  @Test
  void twoSchedulersForOneColdEndpointStayNearItsRate() {
    ServiceScheduler other =
        new ServiceScheduler(
            PlacementFixtures.spec(10),
            PlacementSettings.forSchedulerCount(2),
            PlacementFixtures.roundTrips(),
            PlacementFixtures.regionShiftLimiter(),
            PlacementFixtures.endpointLimits());
    ImmutableList<UsableEndpoint> cold =
        ImmutableList.of(
            new UsableEndpoint(
                PlacementFixtures.endpoint("cold", PlacementFixtures.OWN_ZONE, 9),
                nowNanos + 3 * NANOS_PER_SECOND));
    scheduler.setEndpoints(nowNanos, cold);
    other.setEndpoints(nowNanos, cold);

    List<Long> sentNanos = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      for (ServiceScheduler each : List.of(scheduler, other)) {
        Optional<PlacementDecision> decision =
            each.placeOrEnqueue(nowNanos, newRequest(READ, "object-" + i));
        if (decision.isPresent() && decision.get() instanceof PlacementDecision.Placed placed) {
          sentNanos.add(nowNanos);
          each.release(
              nowNanos,
              placed,
              PlacementFixtures.result(AttemptResult.Status.ANSWERED, NANOS_PER_MILLI));
        }
      }
      nowNanos += 10 * NANOS_PER_MILLI;
    }

    for (long from : sentNanos) {
      long inSecond =
          sentNanos.stream().filter(t -> t >= from && t < from + NANOS_PER_SECOND).count();
      assertThat(inSecond, lessThanOrEqualTo(15L));
    }
  }

  @Test
  void coldEndpointOutsideFilterIsNotUsed() {
    scheduler.setColdEndpointFilter(endpoint -> false);
    scheduler.setEndpoints(
        nowNanos,
        ImmutableList.of(
            new UsableEndpoint(
                PlacementFixtures.endpoint("cold", PlacementFixtures.OWN_ZONE, 9),
                nowNanos + 3 * NANOS_PER_SECOND),
            PlacementFixtures.usable(
                PlacementFixtures.endpoint("warm", PlacementFixtures.OTHER_ZONE, 9))));

    for (int i = 0; i < 9; i++) {
      assertThat(place(READ, "object-" + i).endpoint().id().value(), is("warm"));
    }
  }

  @Test
  void unreachableEndpointOpensCircuitAndIsColdAfterRecovery() {
    scheduler.setEndpoints(nowNanos, PlacementFixtures.endpoints(PlacementFixtures.OWN_ZONE, 1, 9));
    PlacementDecision.Placed failed = place(READ, "x");
    scheduler.release(
        nowNanos,
        failed,
        PlacementFixtures.result(AttemptResult.Status.UNREACHABLE, NANOS_PER_MILLI));

    assertThat(
        scheduler.placeOrEnqueue(nowNanos, newRequest(READ, "x")).orElseThrow(),
        instanceOf(PlacementDecision.Rejected.class));

    nowNanos += NANOS_PER_SECOND;
    PlacementDecision.Placed probe = place(READ, "x");
    assertThat(
        scheduler.placeOrEnqueue(nowNanos, newRequest(READ, "y")).orElseThrow(),
        instanceOf(PlacementDecision.Rejected.class));
    scheduler.release(
        nowNanos, probe, PlacementFixtures.result(AttemptResult.Status.ANSWERED, NANOS_PER_MILLI));

    int placed = 0;
    for (int i = 0; i < 20; i++) {
      if (scheduler.placeOrEnqueue(nowNanos, newRequest(READ, "z" + i)).orElseThrow()
          instanceof PlacementDecision.Placed) {
        placed++;
      }
    }
    assertThat(placed, lessThanOrEqualTo(2));
  }

  @Test
  void restartUnderSameIdFreesSlots() {
    scheduler.setEndpoints(
        nowNanos,
        List.of(
            PlacementFixtures.usable(
                PlacementFixtures.endpoint("e", PlacementFixtures.OWN_ZONE, 2, 1))));
    List<PlacementDecision.Placed> failed = fillSlots(2);

    scheduler.setEndpoints(
        nowNanos,
        List.of(
            PlacementFixtures.usable(
                PlacementFixtures.endpoint("e", PlacementFixtures.OWN_ZONE, 2, 2))));
    failed.forEach(
        placed ->
            scheduler.release(
                nowNanos,
                placed,
                PlacementFixtures.result(AttemptResult.Status.SPOILED, NANOS_PER_MILLI)));

    assertThat(fillSlots(2), hasSize(2));
  }

  @Test
  void fullRegionOverflowsToRegionThatRespondsInTime() {
    RoutingRule slow = PlacementFixtures.rule("slow", 2, 1_000);
    scheduler.setEndpoints(
        nowNanos,
        ImmutableList.<UsableEndpoint>builder()
            .addAll(PlacementFixtures.endpoints(PlacementFixtures.OWN_ZONE, 1, 2))
            .addAll(PlacementFixtures.endpoints(PlacementFixtures.REMOTE_ZONE, 1, 2))
            .build());
    for (int i = 0; i < 4; i++) {
      PlacementDecision.Placed placed = place(slow, "teach-" + i);
      scheduler.release(
          nowNanos,
          placed,
          PlacementFixtures.result(AttemptResult.Status.ANSWERED, 400 * NANOS_PER_MILLI));
    }

    List<String> zones = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      zones.add(place(slow, "object-" + i).endpoint().zone().value());
    }

    assertThat(zones, contains("north-a", "north-a", "south-a"));
  }

  /** While the circuit of an endpoint is open, its keys go to the next endpoint of the region. */
  @Test
  void keysOfFailedEndpointMoveToNextEndpointOfRegion() {
    scheduler.setEndpoints(
        nowNanos,
        ImmutableList.<UsableEndpoint>builder()
            .addAll(PlacementFixtures.endpoints(PlacementFixtures.OWN_ZONE, 3, 9))
            .addAll(PlacementFixtures.endpoints(PlacementFixtures.REMOTE_ZONE, 3, 9))
            .build());
    PlacementDecision.Placed first = place(READ, "roll-7");
    scheduler.release(
        nowNanos,
        first,
        PlacementFixtures.result(AttemptResult.Status.UNREACHABLE, NANOS_PER_MILLI));

    PlacementDecision.Placed second = place(READ, "roll-7");

    assertThat(second.endpoint().id(), is(not(first.endpoint().id())));
    assertThat(second.endpoint().zone(), is(PlacementFixtures.OWN_ZONE));
  }

  /** One zone of the region is evacuated while the endpoints of the other one are full. */
  @Test
  void requestsOfEvacuatedZoneMoveToOtherRegionImmediately() {
    ImmutableList<UsableEndpoint> stay =
        ImmutableList.<UsableEndpoint>builder()
            .addAll(PlacementFixtures.endpoints(PlacementFixtures.OWN_ZONE, 1, 2))
            .addAll(PlacementFixtures.endpoints(PlacementFixtures.REMOTE_ZONE, 4, 9))
            .build();
    scheduler.setEndpoints(
        nowNanos,
        ImmutableList.<UsableEndpoint>builder()
            .addAll(stay)
            .addAll(PlacementFixtures.endpoints(PlacementFixtures.OTHER_ZONE, 1, 9))
            .build());
    RoutingRule slow = PlacementFixtures.rule("slow", 2, 2_000);

    scheduler.setEndpoints(nowNanos, stay);

    int remote = 0;
    for (int i = 0; i < 12; i++) {
      remote +=
          place(slow, "object-" + i).endpoint().zone().equals(PlacementFixtures.REMOTE_ZONE)
              ? 1
              : 0;
    }
    assertThat(remote, is(10));
  }

  private void trainServiceTime(long nanos) {
    scheduler.setEndpoints(nowNanos, PlacementFixtures.endpoints(PlacementFixtures.OWN_ZONE, 1, 2));
    for (int i = 0; i < 40; i++) {
      for (RoutingRule rule : List.of(READ, BOOKING)) {
        PlacementDecision.Placed placed = place(rule, i % 2 == 0 ? "x" : "y" + i);
        scheduler.release(
            nowNanos, placed, PlacementFixtures.result(AttemptResult.Status.ANSWERED, nanos));
      }
    }
  }

  private List<PlacementDecision.Placed> fillSlots(int slots) {
    List<PlacementDecision.Placed> placed = new ArrayList<>();
    for (int i = 0; i < slots; i++) {
      placed.add(place(READ, "fill-" + i));
    }
    return placed;
  }

  private PlacementDecision.Placed place(RoutingRule rule, String key) {
    PlacementDecision decision =
        scheduler.placeOrEnqueue(nowNanos, newRequest(rule, key)).orElseThrow();
    assertThat(decision, instanceOf(PlacementDecision.Placed.class));
    return (PlacementDecision.Placed) decision;
  }

  private SchedulerRequest newRequest(RoutingRule rule, String key) {
    return PlacementFixtures.request(nextId++, rule, key, nowNanos);
  }
}
