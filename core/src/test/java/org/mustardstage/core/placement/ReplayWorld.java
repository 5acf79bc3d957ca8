package org.mustardstage.core.placement;

import static org.mustardstage.core.placement.Scenes.MILLI;
import static org.mustardstage.core.placement.Scenes.SECOND;

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
final class ReplayWorld {
  private static final ServiceName SERVICE = new ServiceName("replayed");
  private static final long TICK_NANOS = 5 * MILLI;
  private static final double WARM_WORK = 0.3;
  private static final int MIN_WINDOW_REQUESTS = 100;

  /** A place with its VMs, its endpoints and its share of the demand. */
  record Place(
      String region, String zone, int vms, int endpoints, double perSecond, double phase) {}

  /** A kind of request. */
  record Kind(RoutingRule rule, long workNanos, double share, int objects, double worth) {}

  /** What the endpoints are like. */
  record EndpointKind(int slots, int queue, int warmObjects) {}

  /**
   * How it went.
   *
   * @param mostMoved the largest share of a region's requests that ran in another region than in
   *     the two seconds before
   */
  record Result(
      double credit,
      double served,
      double refused,
      double warm,
      double meanQueueMillis,
      double mostMoved) {}

  /** A request that was sent. */
  private record Sent(long atNanos, RegionId from, RegionId to) {}

  private final List<Place> places;
  private final List<Kind> kinds;
  private final EndpointKind endpointKind;
  private final double swing;
  private final SplittableRandom random = new SplittableRandom(7);
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<EndpointId, Endpoint> endpoints = new HashMap<>();
  private final List<Vm> vms = new ArrayList<>();
  private final Map<ZoneId, RegionId> regions = new HashMap<>();
  private long nowNanos = SECOND;
  private long sequence;
  private long nextAskId = 1;
  private double owed;
  private double earned;
  private long asked;
  private long answered;
  private long refused;
  private long ran;
  private long ranWarm;
  private double queuedNanos;
  private final List<Sent> sent = new ArrayList<>();

  private record Event(long atNanos, long sequence, Runnable task) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atNanos, other.atNanos);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  private final class Endpoint {
    private final RegisteredEndpoint entry;
    private final Deque<Runnable> queue = new ArrayDeque<>();
    private final Map<String, Boolean> warm = new LinkedHashMap<>(16, 0.75f, true);
    private int running;

    Endpoint(RegisteredEndpoint entry) {
      this.entry = entry;
    }

    /** Returns whether the object was warm, and makes it the last used. */
    boolean touch(String object) {
      boolean was = warm.put(object, true) != null;
      if (warm.size() > endpointKind.warmObjects()) {
        warm.remove(warm.keySet().iterator().next());
      }
      return was;
    }
  }

  private final class Vm {
    private final ServiceScheduler scheduler;
    private final ZoneId zone;
    private final Map<Long, Request> waiting = new HashMap<>();

    Vm(ZoneId zone, int sharers) {
      this.zone = zone;
      this.scheduler =
          new ServiceScheduler(
              new ServiceSpec(SERVICE, "/health", 700, 3_000, 17),
              PlacementSettings.forSchedulerCount(sharers),
              new RoundTripEstimates(zone, regions.get(zone), regions),
              Scenes.regionShares(random.nextDouble()));
    }
  }

  /** A request with its caller's view of it. */
  private record Request(
      Kind kind, String object, long firstNanos, long deadlineNanos, boolean again) {}

  ReplayWorld(List<Place> places, List<Kind> kinds, EndpointKind endpointKind, double swing) {
    this.places = places;
    this.kinds = kinds;
    this.endpointKind = endpointKind;
    this.swing = swing;
    places.forEach(p -> regions.put(new ZoneId(p.zone()), new RegionId(p.region())));
    for (Place place : places) {
      for (int i = 0; i < place.endpoints(); i++) {
        addEndpoint(place, i);
      }
    }
    for (Place place : places) {
      int inRegion =
          places.stream().filter(p -> p.region().equals(place.region())).mapToInt(Place::vms).sum();
      for (int i = 0; i < place.vms(); i++) {
        vms.add(new Vm(new ZoneId(place.zone()), inRegion));
      }
    }
    ImmutableList<UsableEndpoint> usable =
        endpoints.values().stream()
            .map(e -> new UsableEndpoint(e.entry, 0))
            .collect(ImmutableList.toImmutableList());
    vms.forEach(vm -> vm.scheduler.setEndpoints(nowNanos - 10 * SECOND, usable));
  }

  private void addEndpoint(Place place, int number) {
    RegisteredEndpoint entry =
        new RegisteredEndpoint(
            new EndpointId("e-" + place.zone() + "-" + number),
            SERVICE,
            new HostAndPort("10.0.0.1", 8_000),
            new ZoneId(place.zone()),
            endpointKind.slots(),
            false,
            0,
            1);
    endpoints.put(entry.id(), new Endpoint(entry));
  }

  static Kind kind(
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
    return new Kind(rule, workMillis * MILLI, share, objects, rank == 1 ? 2 : 1);
  }

  Result play(int seconds) {
    long endNanos = nowNanos + seconds * SECOND;
    for (Place place : places) {
      scheduleArrival(place, endNanos);
    }
    schedule(TICK_NANOS, () -> tick(endNanos));
    while (!events.isEmpty()) {
      Event event = events.poll();
      nowNanos = event.atNanos();
      event.task().run();
    }
    return new Result(
        earned / owed,
        answered / (double) asked,
        refused / (double) asked,
        ranWarm / (double) ran,
        queuedNanos / ran / MILLI,
        mostMoved());
  }

  private double mostMoved() {
    double most = 0;
    for (RegionId region : Set.copyOf(regions.values())) {
      for (long from = SECOND; from < nowNanos; from += SECOND / 4) {
        Map<RegionId, Double> before = shares(region, from);
        Map<RegionId, Double> after = shares(region, from + 2 * SECOND);
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
    List<Sent> window =
        sent.stream()
            .filter(s -> s.from().equals(region))
            .filter(s -> s.atNanos() >= fromNanos && s.atNanos() < fromNanos + 2 * SECOND)
            .toList();
    Map<RegionId, Double> shares = new HashMap<>();
    if (window.size() >= MIN_WINDOW_REQUESTS) {
      window.forEach(s -> shares.merge(s.to(), 1.0 / window.size(), Double::sum));
    }
    return shares;
  }

  private void schedule(long delayNanos, Runnable task) {
    events.add(new Event(nowNanos + Math.max(0, delayNanos), sequence++, task));
  }

  private void tick(long endNanos) {
    for (Vm vm : vms) {
      if (vm.scheduler.queueLength() > 0) {
        vm.scheduler.processQueue(nowNanos).forEach(decision -> decided(vm, decision));
      }
    }
    if (nowNanos < endNanos + 5 * SECOND) {
      schedule(TICK_NANOS, () -> tick(endNanos));
    }
  }

  private void scheduleArrival(Place place, long endNanos) {
    double wave = 1 + swing * Math.sin(2 * Math.PI * (nowNanos / 36e9 + place.phase()));
    double gapNanos = -Math.log(1 - random.nextDouble()) * 1e9 / (place.perSecond() * wave);
    schedule(
        (long) gapNanos,
        () -> {
          if (nowNanos < endNanos) {
            arrive(place);
            scheduleArrival(place, endNanos);
          }
        });
  }

  private void arrive(Place place) {
    double draw = random.nextDouble();
    Kind kind = kinds.getLast();
    for (Kind each : kinds) {
      draw -= each.share();
      if (draw < 0) {
        kind = each;
        break;
      }
    }
    String object =
        kind.rule().name() + "/" + place.region() + "/" + random.nextInt(kind.objects());
    Request request =
        new Request(
            kind,
            object,
            nowNanos,
            nowNanos + kind.rule().timeoutMillis() * MILLI,
            /* again= */ false);
    asked++;
    owed += kind.worth();
    List<Vm> inZone = vms.stream().filter(vm -> vm.zone.value().equals(place.zone())).toList();
    offer(inZone.get(random.nextInt(inZone.size())), request);
  }

  private void offer(Vm vm, Request request) {
    SchedulerRequest ask =
        new SchedulerRequest(
            nextAskId++,
            request.kind().rule(),
            Optional.of(request.object()),
            nowNanos,
            nowNanos + request.kind().rule().latencyObjectiveMillis() * MILLI,
            request.deadlineNanos(),
            ImmutableSet.of());
    vm.waiting.put(ask.id(), request);
    vm.scheduler.placeOrEnqueue(nowNanos, ask).ifPresent(decision -> decided(vm, decision));
  }

  private void decided(Vm vm, PlacementDecision decision) {
    Request request = vm.waiting.remove(decision.request().id());
    switch (decision) {
      case PlacementDecision.Placed placed -> send(vm, request, placed);
      case PlacementDecision.Rejected away -> turnAway(vm, request, away.retryAfterMillis());
    }
  }

  private void turnAway(Vm vm, Request request, long retryAfterMillis) {
    long leftNanos = request.deadlineNanos() - nowNanos;
    if (request.again() || leftNanos < 50 * MILLI) {
      refused++;
      return;
    }
    long delayNanos = Math.min(retryAfterMillis * MILLI, leftNanos / 3);
    Request again =
        new Request(
            request.kind(), request.object(), request.firstNanos(), request.deadlineNanos(), true);
    schedule(delayNanos, () -> offer(vm, again));
  }

  private void send(Vm vm, Request request, PlacementDecision.Placed placed) {
    Endpoint endpoint = endpoints.get(placed.endpoint().id());
    long wayNanos = wayNanos(vm.zone, endpoint.entry.zone());
    long sentNanos = nowNanos;
    sent.add(new Sent(nowNanos, regions.get(vm.zone), regions.get(endpoint.entry.zone())));
    schedule(wayNanos, () -> reach(vm, request, placed, endpoint, wayNanos, sentNanos));
  }

  private long wayNanos(ZoneId from, ZoneId to) {
    if (from.equals(to)) {
      return MILLI / 10;
    }
    return regions.get(from).equals(regions.get(to)) ? MILLI : 55 * MILLI;
  }

  private void reach(
      Vm vm,
      Request request,
      PlacementDecision.Placed placed,
      Endpoint endpoint,
      long wayNanos,
      long sentNanos) {
    if (endpoint.running >= endpointKind.slots() && endpoint.queue.size() >= endpointKind.queue()) {
      reply(vm, request, placed, endpoint, wayNanos, sentNanos, AttemptResult.Status.REFUSED);
      return;
    }
    long reachedNanos = nowNanos;
    Runnable start =
        () -> {
          endpoint.running++;
          queuedNanos += nowNanos - reachedNanos;
          ran++;
          boolean warm = endpoint.touch(request.object());
          ranWarm += warm ? 1 : 0;
          double spread = 0.75 + 0.5 * random.nextDouble();
          long workNanos = (long) (request.kind().workNanos() * (warm ? WARM_WORK : 1) * spread);
          schedule(
              workNanos,
              () -> {
                endpoint.running--;
                reply(
                    vm,
                    request,
                    placed,
                    endpoint,
                    wayNanos,
                    sentNanos,
                    AttemptResult.Status.ANSWERED);
                if (!endpoint.queue.isEmpty()) {
                  endpoint.queue.pollFirst().run();
                }
              });
        };
    if (endpoint.running < endpointKind.slots()) {
      start.run();
    } else {
      endpoint.queue.addLast(start);
    }
  }

  private void reply(
      Vm vm,
      Request request,
      PlacementDecision.Placed placed,
      Endpoint endpoint,
      long wayNanos,
      long sentNanos,
      AttemptResult.Status result) {
    AttemptResult.LoadReport report =
        new AttemptResult.LoadReport(endpoint.running, endpoint.queue.size(), endpointKind.slots());
    schedule(
        wayNanos,
        () -> {
          vm.scheduler.release(
              nowNanos,
              placed,
              new AttemptResult(
                  result, nowNanos - sentNanos, Optional.empty(), Optional.of(report)));
          if (result == AttemptResult.Status.ANSWERED) {
            answer(request);
          } else {
            turnAway(vm, request, 100);
          }
          vm.scheduler.processQueue(nowNanos).forEach(decision -> decided(vm, decision));
        });
  }

  private void answer(Request request) {
    if (nowNanos > request.deadlineNanos()) {
      refused++;
      return;
    }
    answered++;
    long aimNanos = request.firstNanos() + request.kind().rule().latencyObjectiveMillis() * MILLI;
    earned += request.kind().worth() * (nowNanos <= aimNanos ? 1 : 0.2);
  }
}
