package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import com.google.common.hash.Hashing;
import io.activej.eventloop.Eventloop;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.mustardstage.core.gateway.GatewayConfig;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.lookup.LargeVmSelector;
import org.mustardstage.core.member.Member;
import org.mustardstage.core.member.MemberView;
import org.mustardstage.core.placement.AttemptResult;
import org.mustardstage.core.placement.EndpointLimit;
import org.mustardstage.core.placement.EndpointLimits;
import org.mustardstage.core.placement.PlacementDecision;
import org.mustardstage.core.placement.PlacementSettings;
import org.mustardstage.core.placement.RegionShiftLimiter;
import org.mustardstage.core.placement.RejectionReason;
import org.mustardstage.core.placement.RoundTripEstimates;
import org.mustardstage.core.placement.SchedulerRequest;
import org.mustardstage.core.placement.ServiceScheduler;
import org.mustardstage.core.placement.UsableEndpoint;
import org.mustardstage.entry.gateway.PlacementRequest.BudgetUse;

/**
 * Places requests by the schedulers of all services on this VM. Used on the traffic thread only, so
 * that a request is placed without a change of threads; the control thread passes in the
 * configuration, the endpoints and the members.
 *
 * <p>A request that is queued is placed or rejected in a task of its own, never while another
 * request releases its slot. The releases of many requests would otherwise nest, and an error in
 * one request would end those that it was called from.
 */
final class Dispatcher implements Placer {
  /** How often queued requests are reconsidered while no slot is released. */
  private static final long QUEUE_CHECK_INTERVAL_MILLIS = 5;

  private final GatewaySettings settings;
  private final Eventloop eventloop;
  private final LongSupplier clock;
  private final RoundTripEstimates roundTrips;
  private final RegionShiftLimiter regionShiftLimiter;
  private ImmutableMap<ServiceName, ImmutableList<UsableEndpoint>> endpoints = ImmutableMap.of();
  private final Map<ServiceName, ServiceScheduler> schedulers = new HashMap<>();
  private final RetryBudgets retryBudgets;
  private final Map<Long, Pending> pending = new HashMap<>();

  /** The services whose queues a task is going to process. */
  private final Set<ServiceName> dueServices = new HashSet<>();

  /** The new requests that wait until the queue of their service has been processed. */
  private final Set<Long> newcomers = new HashSet<>();

  private final EndpointLimits endpointLimits;
  private final NamedLimits namedLimits;
  private final ServiceHedges hedges;
  private Optional<MemberView> members = Optional.empty();
  private Consumer<RegisteredEndpoint> leavingListener = endpoint -> {};

  private long nextRequestId = 1;

  private boolean ticking;
  private boolean cutOff;

  private record Pending(
      ServiceName service, SchedulerRequest request, Consumer<PlacementDecision> onDecision) {}

  Dispatcher(GatewaySettings settings, Eventloop eventloop, LongSupplier clock) {
    this.settings = settings;
    this.eventloop = eventloop;
    this.clock = clock;
    this.roundTrips =
        new RoundTripEstimates(settings.zone(), settings.region(), settings.regions());
    this.regionShiftLimiter =
        new RegionShiftLimiter(settings.regionShiftLimit(), phaseOf(settings.vm()));
    this.retryBudgets = new RetryBudgets(settings.repeatShare(), settings.repeatReserve());
    this.hedges = new ServiceHedges(settings.hedging(), clock);
    this.endpointLimits =
        new EndpointLimits(settings.vm(), roundTrips::regionOf, clock.getAsLong());
    this.namedLimits = new NamedLimits(endpointLimits);
  }

  /** Returns a number from 0 to 1, derived from the VM's id, that differs from VM to VM. */
  private static double phaseOf(VmId vm) {
    long hash = Hashing.murmur3_128().hashString(vm.value(), StandardCharsets.UTF_8).asLong();
    return (hash >>> 1) / (double) Long.MAX_VALUE;
  }

  /** Sets what is told of each response in which an endpoint says that it is leaving. */
  void setLeavingListener(Consumer<RegisteredEndpoint> listener) {
    leavingListener = listener;
  }

  /** Sets what is told of the limits that endpoints name in responses. */
  void setLimitListener(Consumer<EndpointLimits.Report> listener) {
    namedLimits.setListener(listener);
  }

  /** Returns the limits in force; may be called on any thread. */
  ImmutableSet<EndpointLimit> limitsInForce() {
    return namedLimits.inForce();
  }

  /** Applies the limits that another VM has heard endpoints name. */
  void applyLimits(List<EndpointLimit> limits) {
    namedLimits.applyReports(clock.getAsLong(), limits);
    processQueues();
  }

  /**
   * Applies a version of the configuration: adds, updates and removes schedulers. Requests that are
   * queued for a removed service are rejected, as nothing else would decide them.
   */
  void setConfig(GatewayConfig config) {
    ImmutableSet<ServiceName> removedServices =
        ImmutableSet.copyOf(Sets.difference(schedulers.keySet(), config.services().keySet()));
    ImmutableList<ServiceScheduler> removedSchedulers =
        removedServices.stream().map(schedulers::remove).collect(ImmutableList.toImmutableList());
    config
        .services()
        .forEach(
            (name, spec) -> {
              ServiceScheduler scheduler = schedulers.get(name);
              if (scheduler == null) {
                scheduler =
                    new ServiceScheduler(
                        spec, placementSettings(), roundTrips, regionShiftLimiter, endpointLimits);
                scheduler.setColdEndpointFilter(
                    endpoint -> endpointLimits.isOnlySender(clock.getAsLong(), endpoint));
                schedulers.put(name, scheduler);
              }
              scheduler.setSpec(spec);
            });
    setEndpoints(endpoints);
    removedSchedulers.forEach(
        scheduler -> deliver(scheduler.rejectQueued(RejectionReason.SERVICE_REMOVED)));
  }

  /** Replaces the endpoints that may receive new requests, by service. */
  void setEndpoints(ImmutableMap<ServiceName, ImmutableList<UsableEndpoint>> usable) {
    endpoints = usable;
    endpointLimits.retainEndpoints(
        usable.values().stream()
            .flatMap(List::stream)
            .map(each -> each.endpoint().id())
            .collect(ImmutableSet.toImmutableSet()));
    long nowNanos = clock.getAsLong();
    schedulers.forEach(
        (name, scheduler) ->
            scheduler.setEndpoints(nowNanos, usable.getOrDefault(name, ImmutableList.of())));
    processQueues();
  }

  /** Returns the state of each service. */
  ImmutableList<GatewayMetrics.ServiceState> serviceStates() {
    long nowNanos = clock.getAsLong();
    ImmutableList.Builder<GatewayMetrics.ServiceState> states = ImmutableList.builder();
    schedulers.forEach(
        (name, scheduler) -> {
          ImmutableList<UsableEndpoint> usable = endpoints.getOrDefault(name, ImmutableList.of());
          int cold = (int) usable.stream().filter(e -> e.coldUntilNanos() - nowNanos > 0).count();
          states.add(
              new GatewayMetrics.ServiceState(
                  name, scheduler.queueLength(), usable.size() - cold, cold));
        });
    return states.build();
  }

  /** Replaces the view of the VMs, by which limits and cold endpoints are divided among them. */
  void setMembers(MemberView view) {
    retryBudgets.setSharingVms(view.statuses().size());
    members = Optional.of(view);
    endpointLimits.setMembers(clock.getAsLong(), view);
    schedulers.values().forEach(scheduler -> scheduler.setSettings(placementSettings()));
  }

  private PlacementSettings placementSettings() {
    return PlacementSettings.forSchedulerCount(
        Math.max(1, servingMembersIn(settings.region()).size()));
  }

  /** Returns the VMs of {@code region} that callers are directed to. */
  private ImmutableList<Member> servingMembersIn(RegionId region) {
    return LargeVmSelector.selectPerZone(
        members.stream()
            .flatMap(view -> view.membersAcceptingCallers().stream())
            .filter(member -> member.region().equals(region))
            .toList());
  }

  @Override
  public PendingPlacement place(PlacementRequest request, Consumer<PlacementDecision> onDecision) {
    long id = nextRequestId++;
    if (dueServices.contains(request.service())) {
      // A slot that was released just now is for the requests that are queued.
      newcomers.add(id);
      eventloop.postLast(
          () -> {
            if (newcomers.remove(id)) {
              decide(id, request, onDecision);
            }
          });
    } else {
      decide(id, request, onDecision);
    }
    return () -> cancel(id);
  }

  private void decide(long id, PlacementRequest request, Consumer<PlacementDecision> onDecision) {
    SchedulerRequest schedulerRequest = toSchedulerRequest(id, request);
    ServiceScheduler scheduler = schedulers.get(request.service());
    if (scheduler == null) {
      onDecision.accept(
          new PlacementDecision.Rejected(schedulerRequest, RejectionReason.NO_ENDPOINT, 0));
      return;
    }
    if (request.budgetUse() == BudgetUse.FIRST_ATTEMPT) {
      recordFirstAttempt(request.service());
    }
    if (request.budgetUse() == BudgetUse.RETRY && !tryAcquireRetry(request.service())) {
      long retryAfterMillis = scheduler.retryAfterMillis(clock.getAsLong(), schedulerRequest);
      onDecision.accept(
          new PlacementDecision.Rejected(
              schedulerRequest, RejectionReason.REPEATS_SPENT, retryAfterMillis));
      return;
    }
    Optional<PlacementDecision> decision =
        scheduler.placeOrEnqueue(clock.getAsLong(), schedulerRequest);
    if (decision.isPresent()) {
      onDecision.accept(decision.get());
      return;
    }
    pending.put(id, new Pending(request.service(), schedulerRequest, onDecision));
    startTicking();
  }

  private static SchedulerRequest toSchedulerRequest(long id, PlacementRequest request) {
    return new SchedulerRequest(
        id,
        request.rule(),
        request.tenant(),
        request.affinityKey(),
        request.arrivalNanos(),
        request.objectiveDeadlineNanos(),
        request.deadlineNanos(),
        request.excludedEndpoints());
  }

  @Override
  public void recordFirstAttempt(ServiceName service) {
    retryBudgets.of(service).recordFirstAttempt();
    hedges.recordFirstAttempt(service);
  }

  @Override
  public OptionalLong hedgeDelayMillis(
      ServiceName service, long expectedMillis, long remainingMillis) {
    return hedges.delayMillis(service, expectedMillis, remainingMillis);
  }

  @Override
  public Optional<PlacementDecision.Placed> placeHedge(PlacementRequest request) {
    ServiceScheduler scheduler = schedulers.get(request.service());
    long nowNanos = clock.getAsLong();
    if (scheduler == null
        || !hedges.tryAcquire(request.service(), scheduler.slotUse(nowNanos))
        || !tryAcquireRetry(request.service())) {
      return Optional.empty();
    }
    return scheduler.placeHedge(nowNanos, toSchedulerRequest(nextRequestId++, request));
  }

  @Override
  public boolean tryAcquireRetry(ServiceName service) {
    return retryBudgets.of(service).tryAcquire();
  }

  private void cancel(long requestId) {
    newcomers.remove(requestId);
    Pending cancelled = pending.remove(requestId);
    ServiceScheduler scheduler = cancelled == null ? null : schedulers.get(cancelled.service());
    if (scheduler != null) {
      scheduler.cancel(cancelled.request());
    }
  }

  /**
   * Sets whether this VM is cut off from all endpoints. What their circuits recorded before was not
   * their fault, and what attempts end with meanwhile is not either.
   */
  void setCutOff(boolean newCutOff) {
    cutOff = newCutOff;
    schedulers.values().forEach(ServiceScheduler::resetCircuits);
  }

  @Override
  public void release(
      ServiceName service, PlacementDecision.Placed placed, AttemptResult reported) {
    AttemptResult result = cutOff ? reported.withoutBlame() : reported;
    ServiceScheduler scheduler = schedulers.get(service);
    if (scheduler != null) {
      // First, as an error in what follows must not keep the slot.
      scheduler.release(clock.getAsLong(), placed, result);
      processQueueLater(service, scheduler);
    }
    namedLimits.recordResponse(clock.getAsLong(), placed.endpoint(), result);
    if (result.status() == AttemptResult.Status.ANSWERED) {
      hedges.recordResponse(service, placed.expectedResponseNanos(), result.elapsedNanos());
    }
    if (result.notice().leaving()) {
      leavingListener.accept(placed.endpoint());
    }
  }

  private void processQueueLater(ServiceName service, ServiceScheduler scheduler) {
    if (scheduler.queueLength() > 0 && dueServices.add(service)) {
      eventloop.postLast(
          () -> {
            dueServices.remove(service);
            Optional.ofNullable(schedulers.get(service)).ifPresent(this::processQueue);
          });
    }
  }

  private void startTicking() {
    if (!ticking) {
      ticking = true;
      eventloop.delay(QUEUE_CHECK_INTERVAL_MILLIS, this::tick);
    }
  }

  private void tick() {
    ticking = false;
    if (!pending.isEmpty()) {
      startTicking();
      processQueues();
    }
  }

  private void processQueues() {
    schedulers.values().forEach(this::processQueue);
  }

  private void processQueue(ServiceScheduler scheduler) {
    if (scheduler.queueLength() == 0) {
      return;
    }
    deliver(scheduler.processQueue(clock.getAsLong()));
  }

  /** Delivers each decision in a task of its own, so that an error in one loses no other. */
  private void deliver(List<PlacementDecision> decisions) {
    for (PlacementDecision decision : decisions) {
      Pending decided = pending.get(decision.request().id());
      if (decided != null) {
        eventloop.postLast(() -> deliver(decided, decision));
      }
    }
  }

  private void deliver(Pending decided, PlacementDecision decision) {
    boolean isWanted = pending.remove(decision.request().id()) != null;
    if (isWanted) {
      decided.onDecision().accept(decision);
    } else if (decision instanceof PlacementDecision.Placed placed) {
      // The request was cancelled after it was placed.
      release(decided.service(), placed, AttemptResult.abandoned());
    }
  }
}
