package org.mustardstage.entry.control;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.mustardstage.core.drain.DrainPlan;
import org.mustardstage.core.drain.DrainReports;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.Service;
import org.mustardstage.core.overload.RejectionReason;
import org.mustardstage.core.permit.LimitId;
import org.mustardstage.entry.log.Event;
import org.mustardstage.entry.log.EventLog;

/** Admits requests of all services. Used on the control thread only. */
final class Admissions {
  private static final long DRAIN_REPORT_HOLD_NANOS = Duration.ofSeconds(5).toNanos();
  private static final long RETRY_WITHOUT_SERVICE_MILLIS = 1_000;

  private final PermitDriver permits;
  private final LongSupplier clock;
  private final RandomGenerator random;
  private final Map<ServiceName, ServiceAdmission> services = new HashMap<>();
  private final Map<ServiceName, ServiceCandidates> candidates = new HashMap<>();
  private final Map<Long, Use> uses = new HashMap<>();
  private final DrainReports drainReports = new DrainReports(DRAIN_REPORT_HOLD_NANOS);
  private final CandidateFactory candidateFactory;
  private Optional<Manifest> manifest = Optional.empty();
  private ImmutableMap<LimitId, Endpoint> endpointsByLimit = ImmutableMap.of();
  private DrainPlan drainPlan = DrainPlan.NONE;
  private boolean stopping;
  private long nextId = 1;

  /** Creates what chooses endpoints for a service. */
  interface CandidateFactory {
    /** Returns the choice of endpoints of {@code service}. */
    ServiceCandidates create(ServiceName service);
  }

  /** A use of a permit that has not ended. */
  private record Use(ServiceName service, AdmissionRequest request, EndpointId endpoint) {}

  Admissions(
      PermitDriver permits,
      LongSupplier clock,
      RandomGenerator random,
      CandidateFactory candidateFactory) {
    this.permits = permits;
    this.clock = clock;
    this.random = random;
    this.candidateFactory = candidateFactory;
  }

  void onManifest(Manifest newManifest) {
    manifest = Optional.of(newManifest);
    ImmutableMap.Builder<LimitId, Endpoint> byLimit = ImmutableMap.builder();
    for (Service service : newManifest.services()) {
      service.endpoints().forEach(e -> byLimit.put(LimitId.slotsOf(e.id()), e));
      candidates
          .computeIfAbsent(service.name(), candidateFactory::create)
          .onService(clock.getAsLong(), newManifest, service);
    }
    endpointsByLimit = byLimit.buildOrThrow();
    updateDrains();
  }

  private void updateDrains() {
    if (manifest.isEmpty()) {
      return;
    }
    DrainPlan before = drainPlan;
    drainPlan = DrainPlan.of(manifest.get(), ImmutableSet.of(), drainReports::isDraining);
    logDrains(before);
    long nowNanos = clock.getAsLong();
    candidates.values().forEach(c -> c.onLeaving(nowNanos, drainPlan::isDraining));
  }

  private void logDrains(DrainPlan before) {
    drainPlan.endpoints().keySet().stream()
        .filter(endpoint -> !before.isDraining(endpoint))
        .forEach(
            endpoint ->
                EventLog.log(
                    Event.ENDPOINT_LEAVING,
                    "endpoint",
                    endpoint,
                    "why",
                    drainPlan.causesOf(endpoint)));
    before.endpoints().keySet().stream()
        .filter(endpoint -> !drainPlan.isDraining(endpoint))
        .forEach(endpoint -> EventLog.log(Event.ENDPOINT_BACK, "endpoint", endpoint));
  }

  DrainPlan drainPlan() {
    return drainPlan;
  }

  /** Refuses all new requests from now on. */
  void stop() {
    stopping = true;
  }

  int usesInFlight() {
    return uses.size();
  }

  void admit(AdmissionRequest request, Consumer<AdmissionDecision> callback) {
    if (stopping) {
      callback.accept(refused(RejectionReason.STOPPING));
      return;
    }
    if (manifest.isEmpty()) {
      callback.accept(refused(RejectionReason.NO_MANIFEST));
      return;
    }
    if (manifest.get().findService(request.service()).isEmpty()) {
      callback.accept(refused(RejectionReason.UNKNOWN_SERVICE));
      return;
    }
    if (request.attempt() == 0) {
      candidates.get(request.service()).onArrival();
    }
    serviceAdmission(request.service())
        .admit(request, decision -> callback.accept(track(request, decision)));
  }

  private static AdmissionDecision refused(RejectionReason reason) {
    return new AdmissionDecision.Rejected(reason, RETRY_WITHOUT_SERVICE_MILLIS);
  }

  private ServiceAdmission serviceAdmission(ServiceName service) {
    return services.computeIfAbsent(
        service, name -> new ServiceAdmission(permits, clock, this::newId, usable(name), random));
  }

  private long newId() {
    return nextId++;
  }

  private ServiceAdmission.Candidates usable(ServiceName service) {
    return new ServiceAdmission.Candidates() {
      @Override
      public List<Endpoint> of(long nowNanos, AdmissionRequest request, long expectedWaitNanos) {
        return candidates.get(service).find(nowNanos, request, expectedWaitNanos);
      }

      @Override
      public Optional<Endpoint> findUsable(LimitId limit) {
        return Optional.ofNullable(endpointsByLimit.get(limit))
            .filter(endpoint -> !drainPlan.isDraining(endpoint.id()));
      }
    };
  }

  private AdmissionDecision track(AdmissionRequest request, AdmissionDecision decision) {
    if (decision instanceof AdmissionDecision.Admitted admitted) {
      EndpointId endpoint = admitted.endpoint().id();
      uses.put(admitted.attemptId(), new Use(request.service(), request, endpoint));
      candidates.get(request.service()).onSent(clock.getAsLong(), endpoint);
    }
    return decision;
  }

  void end(long useId, AttemptReport end) {
    Use use = uses.remove(useId);
    if (use == null) {
      return;
    }
    permits.release(useId, end.result().slotIsFree());
    long nowNanos = clock.getAsLong();
    ServiceAdmission admission = serviceAdmission(use.service());
    if (end.result() == AttemptReport.Result.ANSWERED) {
      admission
          .queue()
          .recordLatency(nowNanos, use.request().call().priority(), end.latencyNanos());
    }
    ServiceCandidates chosen = candidates.get(use.service());
    chosen.onEnd(nowNanos, use.endpoint(), end);
    end.draining().ifPresent(draining -> observeDraining(nowNanos, use.endpoint(), draining));
    admission.onTick(nowNanos);
  }

  private void observeDraining(long nowNanos, EndpointId endpoint, boolean draining) {
    if (drainReports.recordReport(nowNanos, endpoint, draining)) {
      updateDrains();
    }
  }

  void onTick() {
    long nowNanos = clock.getAsLong();
    services.values().forEach(admission -> admission.onTick(nowNanos));
  }

  Map<ServiceName, Integer> waitingByService() {
    Map<ServiceName, Integer> waiting = new HashMap<>();
    services.forEach((name, admission) -> waiting.put(name, admission.queue().size()));
    return waiting;
  }
}
