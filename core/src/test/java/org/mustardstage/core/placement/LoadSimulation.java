package org.mustardstage.core.placement;

import static org.mustardstage.core.placement.PlacementFixtures.NANOS_PER_MILLI;
import static org.mustardstage.core.placement.PlacementFixtures.NANOS_PER_SECOND;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.gateway.RoutingRule;
import org.mustardstage.core.gateway.ServiceSpec;
import org.mustardstage.core.gateway.WeightedService;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;

/**
 * Plays a load pattern in virtual time: VMs that each place requests by a scheduler of their own,
 * endpoints with slots, a blind queue and a least-recently-used set of warm objects, regions that
 * lie apart, callers that come back once after a refusal.
 */
final class LoadSimulation {
  private static final ServiceName SERVICE = new ServiceName("replayed");
  private static final long QUEUE_POLL_NANOS = 5 * NANOS_PER_MILLI;
  private static final double WARM_SERVICE_TIME_SHARE = 0.3;
  private static final int MIN_WINDOW_REQUESTS = 100;

  /** A place with its VMs, its endpoints and its share of the demand. */
  record ZoneLoad(
      String region, String zone, int vms, int endpoints, double requestsPerSecond, double phase) {}

  /** A kind of request. */
  record RequestType(RoutingRule rule, long serviceTimeNanos, double share, int affinityKeys, double weight) {}

  /** What the endpoints are like. */
  record EndpointSpec(int slots, int queueCapacity, int warmKeyCapacity) {}

  /**
   * How it went.
   *
   * @param mostMoved the largest share of a region's requests that ran in another region than in
   *     the two seconds before
   */
  record Summary(
      double weightedSuccessShare,
      double servedShare,
      double rejectedShare,
      double warmShare,
      double meanQueueMillis,
      double maxRegionShift) {}

  /** A request that was sent. */
  private record SentRequest(long atNanos, RegionId callerRegion, RegionId endpointRegion) {}

  private final List<ZoneLoad> zoneLoads;
  private final List<RequestType> requestTypes;
  private final EndpointSpec endpointSpec;
  private final double amplitude;
  private final SplittableRandom random = new SplittableRandom(7);
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<EndpointId, FakeEndpoint> endpoints = new HashMap<>();
  private final List<FakeVm> vms = new ArrayList<>();
  private final Map<ZoneId, RegionId> regions = new HashMap<>();
  private long nowNanos = NANOS_PER_SECOND;
  private long sequence;
  private long nextRequestId = 1;
  private double totalWeight;
  private double achievedWeight;
  private long requestCount;
  private long responseCount;
  private long rejectionCount;
  private long startedCount;
  private long warmStartCount;
  private double totalQueueNanos;
  private final List<SentRequest> sentRequests = new ArrayList<>();

  private record Event(long atNanos, long sequence, Runnable task) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atNanos, other.atNanos);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  private final class FakeEndpoint {
    private final RegisteredEndpoint registration;
    private final Deque<Runnable> queue = new ArrayDeque<>();
    private final Map<String, Boolean> warmKeys = new LinkedHashMap<>(16, 0.75f, true);
    private int running;

    FakeEndpoint(RegisteredEndpoint entry) {
      this.registration = entry;
    }

    /** Returns whether the object was warm, and makes it the last used. */
    boolean touchKey(String object) {
      boolean was = warmKeys.put(object, true) != null;
      if (warmKeys.size() > endpointSpec.warmKeyCapacity()) {
        warmKeys.remove(warmKeys.keySet().iterator().next());
      }
      return was;
    }
  }

  private final class FakeVm {
    private final ServiceScheduler scheduler;
    private final ZoneId zone;
    private final Map<Long, FakeRequest> pendingRequests = new HashMap<>();

    FakeVm(ZoneId zone, int sharers) {
      this.zone = zone;
      this.scheduler =
          new ServiceScheduler(
              new ServiceSpec(SERVICE, "/health", 700, 3_000, 17),
              PlacementSettings.forSchedulerCount(sharers),
              new RoundTripEstimates(zone, regions.get(zone), regions),
              PlacementFixtures.regionShiftLimiter(random.nextDouble()));
    }
  }

  /** A request with its caller's view of it. */
  private record FakeRequest(
      RequestType type, String affinityKey, long arrivalNanos, long deadlineNanos, boolean retry) {}

  LoadSimulation(List<ZoneLoad> places, List<RequestType> kinds, EndpointSpec endpointKind, double swing) {
    this.zoneLoads = places;
    this.requestTypes = kinds;
    this.endpointSpec = endpointKind;
    this.amplitude = swing;
    places.forEach(p -> regions.put(new ZoneId(p.zone()), new RegionId(p.region())));
    for (ZoneLoad place : places) {
      for (int i = 0; i < place.endpoints(); i++) {
        addEndpoint(place, i);
      }
    }
    for (ZoneLoad place : places) {
      int inRegion =
          places.stream().filter(p -> p.region().equals(place.region())).mapToInt(ZoneLoad::vms).sum();
      for (int i = 0; i < place.vms(); i++) {
        vms.add(new FakeVm(new ZoneId(place.zone()), inRegion));
      }
    }
    ImmutableList<UsableEndpoint> usable =
        endpoints.values().stream()
            .map(e -> new UsableEndpoint(e.registration, 0))
            .collect(ImmutableList.toImmutableList());
    vms.forEach(vm -> vm.scheduler.setEndpoints(nowNanos - 10 * NANOS_PER_SECOND, usable));
  }

  private void addEndpoint(ZoneLoad place, int number) {
    RegisteredEndpoint entry =
        new RegisteredEndpoint(
            new EndpointId("e-" + place.zone() + "-" + number),
            SERVICE,
            new HostAndPort("10.0.0.1", 8_000),
            new ZoneId(place.zone()),
            endpointSpec.slots(),
            false,
            0,
            1);
    endpoints.put(entry.id(), new FakeEndpoint(entry));
  }

  static RequestType requestType(
      String name,
      int rank,
      long aimMillis,
      long deadlineMillis,
      long workMillis,
      double share,
      int objects) {
    RoutingRule rule =
        new RoutingRule(
            name,
            "/" + name + "/",
            true,
            aimMillis,
            rank,
            true,
            List.of(new WeightedService(SERVICE, 1)),
            deadlineMillis,
            2,
            ImmutableSet.of());
    return new RequestType(rule, workMillis * NANOS_PER_MILLI, share, objects, rank == 1 ? 2 : 1);
  }

  Summary run(int seconds) {
    long endNanos = nowNanos + seconds * NANOS_PER_SECOND;
    for (ZoneLoad place : zoneLoads) {
      scheduleArrival(place, endNanos);
    }
    schedule(QUEUE_POLL_NANOS, () -> processQueues(endNanos));
    while (!events.isEmpty()) {
      Event event = events.poll();
      nowNanos = event.atNanos();
      event.task().run();
    }
    return new Summary(
        achievedWeight / totalWeight,
        responseCount / (double) requestCount,
        rejectionCount / (double) requestCount,
        warmStartCount / (double) startedCount,
        totalQueueNanos / startedCount / NANOS_PER_MILLI,
        maxRegionShift());
  }

  private double maxRegionShift() {
    double most = 0;
    for (RegionId region : Set.copyOf(regions.values())) {
      for (long from = NANOS_PER_SECOND; from < nowNanos; from += NANOS_PER_SECOND / 4) {
        Map<RegionId, Double> before = shares(region, from);
        Map<RegionId, Double> after = shares(region, from + 2 * NANOS_PER_SECOND);
        if (before.isEmpty() || after.isEmpty()) {
          continue;
        }
        double moved = 0;
        for (RegionId to : Set.copyOf(regions.values())) {
          moved += Math.abs(after.getOrDefault(to, 0.0) - before.getOrDefault(to, 0.0)) / 2;
        }
        most = Math.max(most, moved);
      }
    }
    return most;
  }

  /** Returns the shares of the regions in the requests of two seconds; empty if they are few. */
  private Map<RegionId, Double> shares(RegionId region, long fromNanos) {
    List<SentRequest> window =
        sentRequests.stream()
            .filter(s -> s.callerRegion().equals(region))
            .filter(s -> s.atNanos() >= fromNanos && s.atNanos() < fromNanos + 2 * NANOS_PER_SECOND)
            .toList();
    Map<RegionId, Double> shares = new HashMap<>();
    if (window.size() >= MIN_WINDOW_REQUESTS) {
      window.forEach(s -> shares.merge(s.endpointRegion(), 1.0 / window.size(), Double::sum));
    }
    return shares;
  }

  private void schedule(long delayNanos, Runnable task) {
    events.add(new Event(nowNanos + Math.max(0, delayNanos), sequence++, task));
  }

  private void processQueues(long endNanos) {
    for (FakeVm vm : vms) {
      if (vm.scheduler.queueLength() > 0) {
        vm.scheduler.processQueue(nowNanos).forEach(decision -> onDecision(vm, decision));
      }
    }
    if (nowNanos < endNanos + 5 * NANOS_PER_SECOND) {
      schedule(QUEUE_POLL_NANOS, () -> processQueues(endNanos));
    }
  }

  private void scheduleArrival(ZoneLoad place, long endNanos) {
    double wave = 1 + amplitude * Math.sin(2 * Math.PI * (nowNanos / 36e9 + place.phase()));
    double gapNanos = -Math.log(1 - random.nextDouble()) * 1e9 / (place.requestsPerSecond() * wave);
    schedule(
        (long) gapNanos,
        () -> {
          if (nowNanos < endNanos) {
            arrive(place);
            scheduleArrival(place, endNanos);
          }
        });
  }

  private void arrive(ZoneLoad place) {
    double draw = random.nextDouble();
    RequestType kind = requestTypes.getLast();
    for (RequestType each : requestTypes) {
      draw -= each.share();
      if (draw < 0) {
        kind = each;
        break;
      }
    }
    String object =
        kind.rule().name() + "/" + place.region() + "/" + random.nextInt(kind.affinityKeys());
    FakeRequest request =
        new FakeRequest(
            kind,
            object,
            nowNanos,
            nowNanos + kind.rule().timeoutMillis() * NANOS_PER_MILLI,
            /* again= */ false);
    requestCount++;
    totalWeight += kind.weight();
    List<FakeVm> inZone = vms.stream().filter(vm -> vm.zone.value().equals(place.zone())).toList();
    offer(inZone.get(random.nextInt(inZone.size())), request);
  }

  private void offer(FakeVm vm, FakeRequest request) {
    SchedulerRequest ask =
        new SchedulerRequest(
            nextRequestId++,
            request.type().rule(),
            Optional.of(request.affinityKey()),
            nowNanos,
            nowNanos + request.type().rule().latencyObjectiveMillis() * NANOS_PER_MILLI,
            request.deadlineNanos(),
            ImmutableSet.of());
    vm.pendingRequests.put(ask.id(), request);
    vm.scheduler.placeOrEnqueue(nowNanos, ask).ifPresent(decision -> onDecision(vm, decision));
  }

  private void onDecision(FakeVm vm, PlacementDecision decision) {
    FakeRequest request = vm.pendingRequests.remove(decision.request().id());
    switch (decision) {
      case PlacementDecision.Placed placed -> send(vm, request, placed);
      case PlacementDecision.Rejected away -> retryOrReject(vm, request, away.retryAfterMillis());
    }
  }

  private void retryOrReject(FakeVm vm, FakeRequest request, long retryAfterMillis) {
    long leftNanos = request.deadlineNanos() - nowNanos;
    if (request.retry() || leftNanos < 50 * NANOS_PER_MILLI) {
      rejectionCount++;
      return;
    }
    long delayNanos = Math.min(retryAfterMillis * NANOS_PER_MILLI, leftNanos / 3);
    FakeRequest again =
        new FakeRequest(
            request.type(), request.affinityKey(), request.arrivalNanos(), request.deadlineNanos(), true);
    schedule(delayNanos, () -> offer(vm, again));
  }

  private void send(FakeVm vm, FakeRequest request, PlacementDecision.Placed placed) {
    FakeEndpoint endpoint = endpoints.get(placed.endpoint().id());
    long wayNanos = oneWayNanos(vm.zone, endpoint.registration.zone());
    long sentNanos = nowNanos;
    sentRequests.add(new SentRequest(nowNanos, regions.get(vm.zone), regions.get(endpoint.registration.zone())));
    schedule(wayNanos, () -> arriveAtEndpoint(vm, request, placed, endpoint, wayNanos, sentNanos));
  }

  private long oneWayNanos(ZoneId from, ZoneId to) {
    if (from.equals(to)) {
      return NANOS_PER_MILLI / 10;
    }
    return regions.get(from).equals(regions.get(to)) ? NANOS_PER_MILLI : 55 * NANOS_PER_MILLI;
  }

  private void arriveAtEndpoint(
      FakeVm vm,
      FakeRequest request,
      PlacementDecision.Placed placed,
      FakeEndpoint endpoint,
      long wayNanos,
      long sentNanos) {
    if (endpoint.running >= endpointSpec.slots() && endpoint.queue.size() >= endpointSpec.queueCapacity()) {
      respond(vm, request, placed, endpoint, wayNanos, sentNanos, AttemptResult.Status.REFUSED);
      return;
    }
    long reachedNanos = nowNanos;
    Runnable start =
        () -> {
          endpoint.running++;
          totalQueueNanos += nowNanos - reachedNanos;
          startedCount++;
          boolean warm = endpoint.touchKey(request.affinityKey());
          warmStartCount += warm ? 1 : 0;
          double spread = 0.75 + 0.5 * random.nextDouble();
          long workNanos = (long) (request.type().serviceTimeNanos() * (warm ? WARM_SERVICE_TIME_SHARE : 1) * spread);
          schedule(
              workNanos,
              () -> {
                endpoint.running--;
                respond(vm, request, placed, endpoint, wayNanos, sentNanos, AttemptResult.Status.ANSWERED);
                if (!endpoint.queue.isEmpty()) {
                  endpoint.queue.pollFirst().run();
                }
              });
        };
    if (endpoint.running < endpointSpec.slots()) {
      start.run();
    } else {
      endpoint.queue.addLast(start);
    }
  }

  private void respond(
      FakeVm vm,
      FakeRequest request,
      PlacementDecision.Placed placed,
      FakeEndpoint endpoint,
      long wayNanos,
      long sentNanos,
      AttemptResult.Status result) {
    AttemptResult.LoadReport report =
        new AttemptResult.LoadReport(endpoint.running, endpoint.queue.size(), endpointSpec.slots());
    schedule(
        wayNanos,
        () -> {
          vm.scheduler.release(
              nowNanos,
              placed,
              new AttemptResult(result, nowNanos - sentNanos, Optional.empty(), Optional.of(report)));
          if (result == AttemptResult.Status.ANSWERED) {
            recordResponse(request);
          } else {
            retryOrReject(vm, request, 100);
          }
          vm.scheduler.processQueue(nowNanos).forEach(decision -> onDecision(vm, decision));
        });
  }

  private void recordResponse(FakeRequest request) {
    if (nowNanos > request.deadlineNanos()) {
      rejectionCount++;
      return;
    }
    responseCount++;
    long aimNanos = request.arrivalNanos() + request.type().rule().latencyObjectiveMillis() * NANOS_PER_MILLI;
    achievedWeight += request.type().weight() * (nowNanos <= aimNanos ? 1 : 0.2);
  }
}
