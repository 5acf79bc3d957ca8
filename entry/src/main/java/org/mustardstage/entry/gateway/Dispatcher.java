package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.hash.Hashing;
import io.activej.eventloop.Eventloop;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.mustardstage.core.gateway.GatewayConfig;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.lookup.LargeVmSelector;
import org.mustardstage.core.member.Member;
import org.mustardstage.core.member.MemberStatus;
import org.mustardstage.core.member.MemberView;
import org.mustardstage.core.member.Representatives;
import org.mustardstage.core.overload.RetryBudget;
import org.mustardstage.core.placement.AttemptResult;
import org.mustardstage.core.placement.PlacementDecision;
import org.mustardstage.core.placement.PlacementSettings;
import org.mustardstage.core.placement.RegionShiftLimiter;
import org.mustardstage.core.placement.RejectionReason;
import org.mustardstage.core.placement.RoundTripEstimates;
import org.mustardstage.core.placement.SchedulerRequest;
import org.mustardstage.core.placement.ServiceScheduler;
import org.mustardstage.core.placement.UsableEndpoint;

/**
 * The schedulers of all services at one VM. Used on the traffic thread only, so that a request is
 * placed without a change of threads; the control thread hands over what it believes.
 */
final class Dispatcher implements Placer {
  /** How often requests that wait are looked at when no slot is given back. */
  private static final long TICK_MILLIS = 5;

  /** The part of the repeats that the operators allow which is used; the rest is a margin. */
  private static final double USED_REPEAT_SHARE = 0.5;

  private final GatewaySettings settings;
  private final Eventloop eventloop;
  private final LongSupplier clock;
  private final RoundTripEstimates roundTrips;
  private final RegionShiftLimiter regionShares;
  private ImmutableMap<ServiceName, ImmutableList<UsableEndpoint>> endpoints = ImmutableMap.of();
  private final Map<ServiceName, ServiceScheduler> schedulers = new HashMap<>();
  private final Map<ServiceName, RetryBudget> repeats = new HashMap<>();
  private final Map<Long, Pending> pending = new HashMap<>();
  private Optional<MemberView> members = Optional.empty();

  /** Whether this VM is in charge of an endpoint while it is cold, by the members last heard of. */
  private final Map<EndpointId, Boolean> inCharge = new HashMap<>();

  private long nextAskId = 1;

  /** The most VMs seen so far; they share the repeats. */
  private int repeatVms = 1;

  private boolean ticking;

  private record Pending(
      ServiceName service, SchedulerRequest ask, Consumer<PlacementDecision> onDecision) {}

  Dispatcher(GatewaySettings settings, Eventloop eventloop, LongSupplier clock) {
    this.settings = settings;
    this.eventloop = eventloop;
    this.clock = clock;
    this.roundTrips =
        new RoundTripEstimates(settings.zone(), settings.region(), settings.regions());
    this.regionShares = new RegionShiftLimiter(settings.moveLimit(), phase(settings.vm()));
  }

  /** Returns a number from 0 to 1 that differs from VM to VM. */
  private static double phase(VmId vm) {
    long hash = Hashing.murmur3_128().hashString(vm.value(), StandardCharsets.UTF_8).asLong();
    return (hash >>> 1) / (double) Long.MAX_VALUE;
  }

  /** Takes over a version of the configuration. */
  void onConfig(GatewayConfig config) {
    schedulers.keySet().retainAll(config.services().keySet());
    config
        .services()
        .forEach(
            (name, spec) -> {
              ServiceScheduler scheduler = schedulers.get(name);
              if (scheduler == null) {
                scheduler =
                    new ServiceScheduler(spec, placementSettings(), roundTrips, regionShares);
                scheduler.setColdEndpointFilter(this::isInChargeOf);
                schedulers.put(name, scheduler);
              }
              scheduler.setSpec(spec);
            });
    onEndpoints(endpoints);
  }

  /** Takes over the endpoints that may be sent new work, by service. */
  void onEndpoints(ImmutableMap<ServiceName, ImmutableList<UsableEndpoint>> usable) {
    endpoints = usable;
    inCharge.clear();
    long nowNanos = clock.getAsLong();
    schedulers.forEach(
        (name, scheduler) ->
            scheduler.setEndpoints(nowNanos, usable.getOrDefault(name, ImmutableList.of())));
    lookAtWaiting();
  }

  /** Takes over what is believed of the other VMs. */
  void onMembers(MemberView view) {
    if (view.statuses().size() > repeatVms) {
      repeatVms = view.statuses().size();
      repeats.clear();
    }
    members = Optional.of(view);
    inCharge.clear();
    schedulers.values().forEach(scheduler -> scheduler.setSettings(placementSettings()));
  }

  private PlacementSettings placementSettings() {
    return PlacementSettings.forSchedulerCount(Math.max(1, carriersIn(settings.region()).size()));
  }

  /** Returns the VMs of {@code region} that callers are sent to. */
  private ImmutableList<Member> carriersIn(RegionId region) {
    return LargeVmSelector.selectPerZone(
        members.stream()
            .flatMap(view -> view.statuses().stream())
            .filter(MemberStatus::acceptsCallers)
            .map(MemberStatus::member)
            .filter(member -> member.region().equals(region))
            .toList());
  }

  /** Returns whether this VM, of all in the endpoint's region, sends to it while it is cold. */
  private boolean isInChargeOf(RegisteredEndpoint endpoint) {
    return inCharge.computeIfAbsent(endpoint.id(), id -> chooseInCharge(endpoint));
  }

  private boolean chooseInCharge(RegisteredEndpoint endpoint) {
    ImmutableList<Member> near = carriersIn(roundTrips.regionOf(endpoint.zone()));
    return Representatives.choose("cold/" + endpoint.id(), near)
        .filter(member -> member.vm().equals(settings.vm()))
        .isPresent();
  }

  @Override
  public Ticket place(PlaceRequest request, Consumer<PlacementDecision> onDecision) {
    long id = nextAskId++;
    decide(id, request, onDecision);
    return () -> withdraw(id);
  }

  private void decide(long id, PlaceRequest request, Consumer<PlacementDecision> onDecision) {
    SchedulerRequest ask =
        new SchedulerRequest(
            id,
            request.rule(),
            request.object(),
            request.arrivedNanos(),
            request.aimNanos(),
            request.deadlineNanos(),
            request.tried());
    ServiceScheduler scheduler = schedulers.get(request.service());
    if (scheduler == null) {
      onDecision.accept(new PlacementDecision.Rejected(ask, RejectionReason.NO_ENDPOINT, 0));
      return;
    }
    if (request.sentBefore()) {
      if (!repeats(request.service()).tryAcquire()) {
        long retryAfterMillis = scheduler.retryAfterMillis(clock.getAsLong(), ask);
        onDecision.accept(
            new PlacementDecision.Rejected(ask, RejectionReason.REPEATS_SPENT, retryAfterMillis));
        return;
      }
    } else if (request.tried().isEmpty()) {
      repeats(request.service()).recordFirstAttempt();
    }
    Optional<PlacementDecision> decision = scheduler.placeOrEnqueue(clock.getAsLong(), ask);
    if (decision.isPresent()) {
      onDecision.accept(decision.get());
      return;
    }
    pending.put(id, new Pending(request.service(), ask, onDecision));
    startTicking();
  }

  private RetryBudget repeats(ServiceName service) {
    return repeats.computeIfAbsent(service, name -> newRepeatBudget());
  }

  private RetryBudget newRepeatBudget() {
    int reserve = (int) (USED_REPEAT_SHARE * settings.repeatReserve() / repeatVms);
    return new RetryBudget(USED_REPEAT_SHARE * settings.repeatShare(), reserve, reserve);
  }

  private void withdraw(long askId) {
    Pending withdrawn = pending.remove(askId);
    if (withdrawn != null) {
      schedulers.get(withdrawn.service()).cancel(withdrawn.ask());
    }
  }

  @Override
  public void release(ServiceName service, PlacementDecision.Placed placed, AttemptResult end) {
    ServiceScheduler scheduler = schedulers.get(service);
    if (scheduler != null) {
      scheduler.release(clock.getAsLong(), placed, end);
      lookAt(scheduler);
    }
  }

  private void startTicking() {
    if (!ticking) {
      ticking = true;
      eventloop.delay(TICK_MILLIS, this::tick);
    }
  }

  private void tick() {
    ticking = false;
    lookAtWaiting();
    if (!pending.isEmpty()) {
      startTicking();
    }
  }

  private void lookAtWaiting() {
    schedulers.values().forEach(this::lookAt);
  }

  private void lookAt(ServiceScheduler scheduler) {
    if (scheduler.queueLength() == 0) {
      return;
    }
    List<PlacementDecision> decisions = scheduler.processQueue(clock.getAsLong());
    for (PlacementDecision decision : decisions) {
      Pending decided = pending.remove(decision.request().id());
      if (decided != null) {
        decided.onDecision().accept(decision);
      }
    }
  }
}
