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

/**
 * Admits or rejects the requests of all services, and tracks the admitted attempts until their
 * results are reported. Used on the control thread only.
 */
final class AdmissionController {
  /** The shortest time for which an endpoint must report that it serves to end its draining. */
  private static final long MIN_DRAIN_HOLD_NANOS = Duration.ofSeconds(5).toNanos();

  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final PermitDriver permits;
  private final LongSupplier clock;
  private final RandomGenerator random;
  private final Map<ServiceName, ServiceAdmission> services = new HashMap<>();
  private final Map<ServiceName, EndpointSelector> selectors = new HashMap<>();
  private final Map<Long, ActiveAttempt> activeAttempts = new HashMap<>();
  private final DrainReports drainReports = new DrainReports(MIN_DRAIN_HOLD_NANOS);
  private final EndpointSelectorFactory selectorFactory;
  private Optional<Manifest> manifest = Optional.empty();
  private ImmutableMap<LimitId, Endpoint> endpointsByLimit = ImmutableMap.of();
  private DrainPlan drainPlan = DrainPlan.NONE;
  private boolean stopping;
  private long nextRequestId = 1;

  /** Creates the endpoint selector of each service. */
  interface EndpointSelectorFactory {
    /** Returns a new endpoint selector for {@code service}. */
    EndpointSelector create(ServiceName service);
  }

  /** An admitted attempt whose result is not reported yet. */
  private record ActiveAttempt(
      ServiceName service, AdmissionRequest request, EndpointId endpoint) {}

  AdmissionController(
      PermitDriver permits,
      LongSupplier clock,
      RandomGenerator random,
      EndpointSelectorFactory selectorFactory) {
    this.permits = permits;
    this.clock = clock;
    this.random = random;
    this.selectorFactory = selectorFactory;
  }

  void updateManifest(Manifest newManifest) {
    manifest = Optional.of(newManifest);
    ImmutableMap.Builder<LimitId, Endpoint> byLimit = ImmutableMap.builder();
    for (Service service : newManifest.services()) {
      service.endpoints().forEach(e -> byLimit.put(LimitId.slotsOf(e.id()), e));
      selectors
          .computeIfAbsent(service.name(), selectorFactory::create)
          .updateService(clock.getAsLong(), newManifest, service);
    }
    endpointsByLimit = byLimit.buildOrThrow();
    updateDrainPlan();
  }

  private void updateDrainPlan() {
    if (manifest.isEmpty()) {
      return;
    }
    DrainPlan previousPlan = drainPlan;
    drainPlan = DrainPlan.of(manifest.get(), ImmutableSet.of(), drainReports::isDraining);
    logDrainChanges(previousPlan);
    long nowNanos = clock.getAsLong();
    selectors.values().forEach(selector -> selector.updateLeaving(nowNanos, drainPlan::isDraining));
  }

  private void logDrainChanges(DrainPlan previousPlan) {
    drainPlan.endpoints().keySet().stream()
        .filter(endpoint -> !previousPlan.isDraining(endpoint))
        .forEach(
            endpoint ->
                EventLog.log(
                    Event.ENDPOINT_LEAVING,
                    "endpoint",
                    endpoint,
                    "why",
                    drainPlan.causesOf(endpoint)));
    previousPlan.endpoints().keySet().stream()
        .filter(endpoint -> !drainPlan.isDraining(endpoint))
        .forEach(endpoint -> EventLog.log(Event.ENDPOINT_BACK, "endpoint", endpoint));
  }

  DrainPlan drainPlan() {
    return drainPlan;
  }

  /** Rejects all requests that arrive from now on. */
  void rejectNewRequests() {
    stopping = true;
  }

  int requestsInFlight() {
    return activeAttempts.size();
  }

  void admit(AdmissionRequest request, Consumer<AdmissionDecision> callback) {
    if (stopping) {
      callback.accept(rejected(RejectionReason.STOPPING));
      return;
    }
    if (manifest.isEmpty()) {
      callback.accept(rejected(RejectionReason.NO_MANIFEST));
      return;
    }
    if (manifest.get().findService(request.service()).isEmpty()) {
      callback.accept(rejected(RejectionReason.UNKNOWN_SERVICE));
      return;
    }
    if (request.attempt() == 0) {
      selectors.get(request.service()).recordFirstAttempt();
    }
    serviceAdmission(request.service())
        .admit(request, decision -> callback.accept(recordAdmitted(request, decision)));
  }

  private static AdmissionDecision rejected(RejectionReason reason) {
    return new AdmissionDecision.Rejected(reason, RETRY_AFTER_MILLIS);
  }

  private ServiceAdmission serviceAdmission(ServiceName service) {
    return services.computeIfAbsent(
        service,
        name ->
            new ServiceAdmission(permits, clock, this::newRequestId, candidatesOf(name), random));
  }

  private long newRequestId() {
    return nextRequestId++;
  }

  private ServiceAdmission.CandidateEndpoints candidatesOf(ServiceName service) {
    return new ServiceAdmission.CandidateEndpoints() {
      @Override
      public List<Endpoint> find(long nowNanos, AdmissionRequest request, long expectedWaitNanos) {
        return selectors.get(service).findCandidates(nowNanos, request, expectedWaitNanos);
      }

      @Override
      public Optional<Endpoint> findUsable(LimitId limit) {
        return Optional.ofNullable(endpointsByLimit.get(limit))
            .filter(endpoint -> !drainPlan.isDraining(endpoint.id()));
      }
    };
  }

  private AdmissionDecision recordAdmitted(AdmissionRequest request, AdmissionDecision decision) {
    if (decision instanceof AdmissionDecision.Admitted admitted) {
      EndpointId endpoint = admitted.endpoint().id();
      activeAttempts.put(
          admitted.attemptId(), new ActiveAttempt(request.service(), request, endpoint));
      selectors.get(request.service()).recordSent(clock.getAsLong(), endpoint);
    }
    return decision;
  }

  void handleReport(long attemptId, AttemptReport report) {
    ActiveAttempt attempt = activeAttempts.remove(attemptId);
    if (attempt == null) {
      return;
    }
    permits.release(attemptId, report.result().slotIsFree());
    long nowNanos = clock.getAsLong();
    ServiceAdmission admission = serviceAdmission(attempt.service());
    if (report.result() == AttemptReport.Result.ANSWERED) {
      admission
          .queue()
          .recordLatency(nowNanos, attempt.request().call().priority(), report.latencyNanos());
    }
    EndpointSelector selector = selectors.get(attempt.service());
    selector.recordResult(nowNanos, attempt.endpoint(), report);
    report
        .draining()
        .ifPresent(draining -> recordDrainReport(nowNanos, attempt.endpoint(), draining));
    admission.runDueTasks(nowNanos);
  }

  private void recordDrainReport(long nowNanos, EndpointId endpoint, boolean draining) {
    if (drainReports.recordReport(nowNanos, endpoint, draining)) {
      updateDrainPlan();
    }
  }

  void runDueTasks() {
    long nowNanos = clock.getAsLong();
    services.values().forEach(admission -> admission.runDueTasks(nowNanos));
  }

  Map<ServiceName, Integer> queuedByService() {
    Map<ServiceName, Integer> queued = new HashMap<>();
    services.forEach((name, admission) -> queued.put(name, admission.queue().size()));
    return queued;
  }
}
