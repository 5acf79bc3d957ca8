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
import java.util.OptionalDouble;
import java.util.OptionalInt;
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
import org.mustardstage.core.id.TenantName;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.tenant.Tenant;

/**
 * Simulates a load pattern in virtual time: VMs with one scheduler each, endpoints with slots, a
 * FIFO queue that ignores priorities, and an LRU cache of warm affinity keys, network delays
 * between zones and regions, and callers that retry once after a rejection.
 */
final class LoadSimulation {
  private static final ServiceName SERVICE = new ServiceName("replayed");
  private static final long QUEUE_POLL_NANOS = 5 * NANOS_PER_MILLI;
  private static final int HOT_TENANT = 3;
  static final TenantName HOT_TENANT_NAME = new TenantName("t-" + HOT_TENANT);
  private static final double WARM_SERVICE_TIME_SHARE = 0.3;

  /**
   * A zone with its VMs, its endpoints and its demand.
   *
   * @param requestsPerSecond the mean request rate
   * @param phase the phase of the oscillation of the demand, from 0 to 1
   */
  record ZoneLoad(
      String region, String zone, int vms, int endpoints, double requestsPerSecond, double phase) {}

  /**
   * A type of request.
   *
   * @param serviceTimeNanos the mean service time of a cold request
   * @param share the share of all requests
   * @param affinityKeys the number of different affinity keys in each region
   * @param weight the weight of a request in the weighted success share
   */
  record RequestType(
      RoutingRule rule, long serviceTimeNanos, double share, int affinityKeys, double weight) {}

  /**
   * What differs from usual demand from the twentieth second on.
   *
   * @param demandFactor the factor on the demand
   * @param tenants the number of tenants from the start; 0 for none
   * @param hotFactor the factor on the demand of one tenant, which is added to the others'
   * @param abusivePercent the percentage of callers that repeat a rejected request at once and
   *     often
   * @param slowEndpoints the percentage of endpoints that are slow; if not 0, endpoints report it
   * @param slowdown the factor on the duration of their work
   */
  record Disturbance(
      double demandFactor,
      int tenants,
      double hotFactor,
      int abusivePercent,
      int slowEndpoints,
      double slowdown) {
    static final Disturbance NONE = new Disturbance(1, 0, 1, 0, 0, 1);
    static final long FROM_NANOS = 20 * NANOS_PER_SECOND;
  }

  /** The capacities of each endpoint. */
  record EndpointSpec(int slots, int queueCapacity, int warmKeyCapacity) {}

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
  private final LoadTally tally = new LoadTally();
  private Disturbance disturbance = Disturbance.NONE;

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

    FakeEndpoint(RegisteredEndpoint registration) {
      this.registration = registration;
    }

    /** Makes the key the most recently used; returns whether it was warm. */
    boolean touchKey(String affinityKey) {
      boolean wasWarm = warmKeys.put(affinityKey, true) != null;
      if (warmKeys.size() > endpointSpec.warmKeyCapacity()) {
        warmKeys.remove(warmKeys.keySet().iterator().next());
      }
      return wasWarm;
    }
  }

  private final class FakeVm {
    private final ServiceScheduler scheduler;
    private final ZoneId zone;
    private final Map<Long, FakeRequest> pendingRequests = new HashMap<>();

    FakeVm(ZoneId zone, int schedulerCount) {
      this.zone = zone;
      this.scheduler =
          new ServiceScheduler(
              new ServiceSpec(SERVICE, "/health", 700, 3_000, 17),
              PlacementSettings.forSchedulerCount(schedulerCount),
              new RoundTripEstimates(zone, regions.get(zone), regions),
              PlacementFixtures.regionShiftLimiter(random.nextDouble()),
              PlacementFixtures.endpointLimits());
    }
  }

  /** A request as its caller sees it, with the number of retries after rejections so far. */
  record FakeRequest(
      RequestType type,
      Optional<Tenant> tenant,
      RegionId region,
      String affinityKey,
      long arrivalNanos,
      long deadlineNanos,
      int retries) {
    FakeRequest retried() {
      return new FakeRequest(
          type, tenant, region, affinityKey, arrivalNanos, deadlineNanos, retries + 1);
    }
  }

  /** Simulates {@code newDisturbance} from the twentieth second on. */
  LoadSimulation with(Disturbance newDisturbance) {
    disturbance = newDisturbance;
    return this;
  }

  private boolean isDisturbed() {
    return nowNanos >= Disturbance.FROM_NANOS;
  }

  /** Returns how long work takes at an endpoint, as a multiple of its usual duration. */
  private double workDuration(FakeEndpoint endpoint) {
    String id = endpoint.registration.id().value();
    boolean slow = isDisturbed() && Math.floorMod(id.hashCode(), 100) < disturbance.slowEndpoints();
    return slow ? disturbance.slowdown() : 1;
  }

  /** Returns the factor on the demand, to which a hot tenant adds its own. */
  private double demandFactor() {
    return (isDisturbed() ? disturbance.demandFactor() : 1)
        + hotWeight() / tenantWeight(disturbance.tenants());
  }

  private double hotWeight() {
    return isDisturbed() && disturbance.tenants() > 0
        ? (disturbance.hotFactor() - 1) * weightOf(HOT_TENANT)
        : 0;
  }

  private static double weightOf(int tenant) {
    return 1.0 / (tenant + 1);
  }

  private static double tenantWeight(int tenants) {
    double total = 0;
    for (int i = 0; i < tenants; i++) {
      total += weightOf(i);
    }
    return Math.max(1, total);
  }

  /** Returns the tenant of a new request. A few are large, and one of them may be hot. */
  private Optional<Tenant> drawTenant() {
    if (disturbance.tenants() == 0) {
      return Optional.empty();
    }
    double draw =
        random.nextDouble() * (hotWeight() + tenantWeight(disturbance.tenants())) - hotWeight();
    int number = draw < 0 ? HOT_TENANT : 0;
    while (draw >= weightOf(number) && number < disturbance.tenants() - 1) {
      draw -= weightOf(number++);
    }
    return Optional.of(
        new Tenant(new TenantName("t-" + number), OptionalInt.empty(), Set.of(), Optional.empty()));
  }

  LoadSimulation(
      List<ZoneLoad> zoneLoads,
      List<RequestType> requestTypes,
      EndpointSpec endpointSpec,
      double amplitude) {
    this.zoneLoads = zoneLoads;
    this.requestTypes = requestTypes;
    this.endpointSpec = endpointSpec;
    this.amplitude = amplitude;
    zoneLoads.forEach(p -> regions.put(new ZoneId(p.zone()), new RegionId(p.region())));
    for (ZoneLoad zoneLoad : zoneLoads) {
      for (int i = 0; i < zoneLoad.endpoints(); i++) {
        addEndpoint(zoneLoad, i);
      }
    }
    for (ZoneLoad zoneLoad : zoneLoads) {
      int schedulersInRegion =
          zoneLoads.stream()
              .filter(p -> p.region().equals(zoneLoad.region()))
              .mapToInt(ZoneLoad::vms)
              .sum();
      for (int i = 0; i < zoneLoad.vms(); i++) {
        vms.add(new FakeVm(new ZoneId(zoneLoad.zone()), schedulersInRegion));
      }
    }
    ImmutableList<UsableEndpoint> usable =
        endpoints.values().stream()
            .map(e -> new UsableEndpoint(e.registration, 0))
            .collect(ImmutableList.toImmutableList());
    vms.forEach(vm -> vm.scheduler.setEndpoints(nowNanos - 10 * NANOS_PER_SECOND, usable));
  }

  private void addEndpoint(ZoneLoad zoneLoad, int number) {
    RegisteredEndpoint registration =
        new RegisteredEndpoint(
            new EndpointId("e-" + zoneLoad.zone() + "-" + number),
            SERVICE,
            new HostAndPort("10.0.0.1", 8_000),
            new ZoneId(zoneLoad.zone()),
            endpointSpec.slots(),
            false,
            0,
            1);
    endpoints.put(registration.id(), new FakeEndpoint(registration));
  }

  static RequestType requestType(
      String name,
      int priority,
      long latencyObjectiveMillis,
      long deadlineMillis,
      long serviceTimeMillis,
      double share,
      int affinityKeys) {
    RoutingRule rule =
        new RoutingRule(
            name,
            "/" + name + "/",
            true,
            latencyObjectiveMillis,
            priority,
            true,
            List.of(new WeightedService(SERVICE, 1)),
            deadlineMillis,
            2,
            ImmutableSet.of());
    return new RequestType(
        rule, serviceTimeMillis * NANOS_PER_MILLI, share, affinityKeys, priority == 1 ? 2 : 1);
  }

  LoadTally.Summary run(int seconds) {
    long endNanos = nowNanos + seconds * NANOS_PER_SECOND;
    for (ZoneLoad zoneLoad : zoneLoads) {
      scheduleArrival(zoneLoad, endNanos);
    }
    schedule(QUEUE_POLL_NANOS, () -> processQueues(endNanos));
    while (!events.isEmpty()) {
      Event event = events.poll();
      nowNanos = event.atNanos();
      event.task().run();
    }
    return tally.summary(Set.copyOf(regions.values()), nowNanos);
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

  private void scheduleArrival(ZoneLoad zoneLoad, long endNanos) {
    double wave = 1 + amplitude * Math.sin(2 * Math.PI * (nowNanos / 36e9 + zoneLoad.phase()));
    double gapNanos =
        -Math.log(1 - random.nextDouble())
            * 1e9
            / (zoneLoad.requestsPerSecond() * wave * demandFactor());
    schedule(
        (long) gapNanos,
        () -> {
          if (nowNanos < endNanos) {
            arrive(zoneLoad);
            scheduleArrival(zoneLoad, endNanos);
          }
        });
  }

  private void arrive(ZoneLoad zoneLoad) {
    double draw = random.nextDouble();
    RequestType type = requestTypes.getLast();
    for (RequestType each : requestTypes) {
      draw -= each.share();
      if (draw < 0) {
        type = each;
        break;
      }
    }
    String affinityKey =
        type.rule().name() + "/" + zoneLoad.region() + "/" + random.nextInt(type.affinityKeys());
    FakeRequest request =
        new FakeRequest(
            type,
            drawTenant(),
            new RegionId(zoneLoad.region()),
            affinityKey,
            nowNanos,
            nowNanos + type.rule().timeoutMillis() * NANOS_PER_MILLI,
            /* retries= */ 0);
    tally.recordArrival(request);
    List<FakeVm> vmsInZone =
        vms.stream().filter(vm -> vm.zone.value().equals(zoneLoad.zone())).toList();
    offer(vmsInZone.get(random.nextInt(vmsInZone.size())), request);
  }

  private void offer(FakeVm vm, FakeRequest request) {
    SchedulerRequest schedulerRequest =
        new SchedulerRequest(
            nextRequestId++,
            request.type().rule(),
            request.tenant(),
            Optional.of(request.affinityKey()),
            nowNanos,
            nowNanos + request.type().rule().latencyObjectiveMillis() * NANOS_PER_MILLI,
            request.deadlineNanos(),
            ImmutableSet.of());
    vm.pendingRequests.put(schedulerRequest.id(), request);
    vm.scheduler
        .placeOrEnqueue(nowNanos, schedulerRequest)
        .ifPresent(decision -> onDecision(vm, decision));
  }

  private void onDecision(FakeVm vm, PlacementDecision decision) {
    FakeRequest request = vm.pendingRequests.remove(decision.request().id());
    switch (decision) {
      case PlacementDecision.Placed placed -> send(vm, request, placed);
      case PlacementDecision.Rejected rejected ->
          retryOrReject(vm, request, rejected.retryAfterMillis());
    }
  }

  private void retryOrReject(FakeVm vm, FakeRequest request, long retryAfterMillis) {
    long leftNanos = request.deadlineNanos() - nowNanos;
    boolean abusive =
        isDisturbed()
            && Math.floorMod(request.affinityKey().hashCode(), 100) < disturbance.abusivePercent();
    if (request.retries() >= (abusive ? 20 : 1) || leftNanos < 50 * NANOS_PER_MILLI) {
      return;
    }
    long delayNanos = Math.min(retryAfterMillis * NANOS_PER_MILLI, leftNanos / 3);
    schedule(abusive ? 30 * NANOS_PER_MILLI : delayNanos, () -> offer(vm, request.retried()));
  }

  private void send(FakeVm vm, FakeRequest request, PlacementDecision.Placed placed) {
    FakeEndpoint endpoint = endpoints.get(placed.endpoint().id());
    long oneWayNanos = oneWayNanos(vm.zone, endpoint.registration.zone());
    long sentNanos = nowNanos;
    tally.recordSent(
        nowNanos, request, regions.get(vm.zone), regions.get(endpoint.registration.zone()));
    schedule(
        oneWayNanos, () -> arriveAtEndpoint(vm, request, placed, endpoint, oneWayNanos, sentNanos));
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
      long oneWayNanos,
      long sentNanos) {
    if (endpoint.running >= endpointSpec.slots()
        && endpoint.queue.size() >= endpointSpec.queueCapacity()) {
      tally.recordRefusal();
      respond(vm, request, placed, endpoint, oneWayNanos, sentNanos, AttemptResult.Status.REFUSED);
      return;
    }
    long arrivalNanos = nowNanos;
    Runnable start =
        () -> {
          endpoint.running++;
          boolean warm = endpoint.touchKey(request.affinityKey());
          tally.recordStart(warm, nowNanos - arrivalNanos);
          double spread = 0.75 + 0.5 * random.nextDouble();
          long serviceTimeNanos =
              (long)
                  (request.type().serviceTimeNanos()
                      * (warm ? WARM_SERVICE_TIME_SHARE : 1)
                      * workDuration(endpoint)
                      * spread);
          schedule(
              serviceTimeNanos,
              () -> {
                endpoint.running--;
                respond(
                    vm,
                    request,
                    placed,
                    endpoint,
                    oneWayNanos,
                    sentNanos,
                    AttemptResult.Status.ANSWERED);
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
      long oneWayNanos,
      long sentNanos,
      AttemptResult.Status status) {
    AttemptResult.LoadReport report =
        new AttemptResult.LoadReport(
            endpoint.running,
            endpoint.queue.size(),
            endpointSpec.slots(),
            disturbance.slowEndpoints() == 0
                ? OptionalDouble.empty()
                : OptionalDouble.of(workDuration(endpoint) * (0.8 + 0.4 * random.nextDouble())));
    schedule(
        oneWayNanos,
        () -> {
          vm.scheduler.release(
              nowNanos,
              placed,
              new AttemptResult(
                  status,
                  nowNanos - sentNanos,
                  Optional.empty(),
                  Optional.of(report),
                  EndpointNotice.NONE));
          if (status == AttemptResult.Status.ANSWERED) {
            tally.recordResponse(nowNanos, request);
          } else {
            retryOrReject(vm, request, 100);
          }
          vm.scheduler.processQueue(nowNanos).forEach(decision -> onDecision(vm, decision));
        });
  }
}
