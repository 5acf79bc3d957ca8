package org.mustardstage.standins.bench.policies;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.mustardstage.core.drain.DrainReports;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.manifest.Priority;
import org.mustardstage.core.overload.OfferResult;
import org.mustardstage.core.overload.QueueSettings;
import org.mustardstage.core.overload.QueuedRequest;
import org.mustardstage.core.overload.Rejection;
import org.mustardstage.core.overload.RequestQueue;
import org.mustardstage.core.overload.RetryAfterSettings;
import org.mustardstage.core.route.EndpointLocation;
import org.mustardstage.core.route.EndpointRouter;
import org.mustardstage.core.route.RouteRequest;
import org.mustardstage.core.route.RouterSettings;

/** An entry VM that routes, queues and drains with the classes of the core. */
final class MustardstageEntryVm implements EntryVmModel {
  private static final long DRAIN_HOLD_NANOS = 10_000_000_000L;

  private final NetworkModel network;
  private final int zone;
  private final boolean usesLoadReports;
  private final Consumer<EndpointModel> onPermitReleased;
  private final RequestQueue queue;
  private final EndpointRouter router;
  private final DrainReports drainReports = new DrainReports(DRAIN_HOLD_NANOS);
  private final Set<EndpointId> drainedByManifest = new HashSet<>();
  private final Map<Long, CallerRequest> queuedRequests = new HashMap<>();
  private final Map<EndpointId, EndpointModel> endpoints = new HashMap<>();

  MustardstageEntryVm(
      NetworkModel network,
      ServiceModel service,
      int zone,
      boolean usesLoadReports,
      RandomGenerator random,
      Consumer<EndpointModel> onPermitReleased) {
    this.network = network;
    this.zone = zone;
    this.usesLoadReports = usesLoadReports;
    this.onPermitReleased = onPermitReleased;
    this.queue = new RequestQueue(QueueSettings.DEFAULT, RetryAfterSettings.DEFAULT, random);
    this.router = new EndpointRouter(RouterSettings.DEFAULT, random);
    List<EndpointLocation> locations = new ArrayList<>();
    for (EndpointModel endpoint : network.endpoints()) {
      endpoints.put(endpoint.id, endpoint);
      RegionId region = new RegionId("r" + endpoint.region());
      locations.add(
          new EndpointLocation(
              endpoint.id, region, NetworkModel.proximity(zone, endpoint), endpoint.slots));
    }
    router.updateEndpoints(0, service.objective(), locations);
    router.setEntryVmCount(ServiceModel.ENTRY_VMS);
  }

  @Override
  public void handleRequest(CallerRequest request) {
    long nowNanos = now();
    long deadlineNanos = request.deadlineNanos() - network.callers().oneWayDelayNanos();
    QueuedRequest offered =
        new QueuedRequest(request.id, request.call.priority(), nowNanos, deadlineNanos);
    queuedRequests.put(request.id, request);
    OfferResult result = queue.offer(nowNanos, offered);
    result.displaced().forEach(this::reject);
    if (result instanceof OfferResult.Rejected rejected) {
      reject(rejected.rejection());
    }
    dispatch();
  }

  @Override
  public void dispatch() {
    queue.expire(now()).forEach(this::reject);
    boolean hasSent = queue.size() > 0;
    while (hasSent) {
      hasSent = queue.peek(now()).flatMap(this::acquirePermit).map(this::sendNext).isPresent();
    }
  }

  @Override
  public void updateLoadReports() {
    if (usesLoadReports) {
      endpoints
          .values()
          .forEach(e -> router.recordLoadReport(now(), e.id, e.reportedUtilization()));
    }
    endpoints.values().forEach(this::updateDrainState);
  }

  @Override
  public void startDrain(EndpointModel endpoint) {
    drainedByManifest.add(endpoint.id);
    router.updateLeaving(now(), this::isLeaving);
  }

  private Optional<EndpointModel> acquirePermit(QueuedRequest queued) {
    RouteRequest request =
        new RouteRequest(
            queue.expectedWaitNanos(now(), Priority.INTERACTIVE),
            queued.priority() != Priority.NON_IDEMPOTENT,
            ImmutableSet.of(),
            region -> true);
    for (EndpointId candidate : router.candidates(now(), request)) {
      if (endpoints.get(candidate).tryAcquirePermit()) {
        return Optional.of(endpoints.get(candidate));
      }
    }
    return Optional.empty();
  }

  private EndpointModel sendNext(EndpointModel endpoint) {
    CallerRequest request =
        queuedRequests.remove(queue.poll(now()).next().orElseThrow().requestId());
    long sentNanos = now();
    router.recordSent(endpoint.id);
    network.send(zone, endpoint, request, ran -> handleResponse(endpoint, request, sentNanos));
    return endpoint;
  }

  private void handleResponse(EndpointModel endpoint, CallerRequest request, long sentNanos) {
    long latencyNanos = now() - sentNanos;
    endpoint.releasePermit();
    router.recordResponse(now(), endpoint.id, latencyNanos);
    queue.recordLatency(now(), request.call.priority(), latencyNanos);
    if (usesLoadReports) {
      router.recordLoadReport(now(), endpoint.id, endpoint.reportedUtilization());
    }
    updateDrainState(endpoint);
    network.callers().handleResponse(request);
    onPermitReleased.accept(endpoint);
  }

  private void updateDrainState(EndpointModel endpoint) {
    if (drainReports.recordReport(now(), endpoint.id, endpoint.draining)) {
      router.updateLeaving(now(), this::isLeaving);
    }
  }

  private boolean isLeaving(EndpointId endpoint) {
    return drainedByManifest.contains(endpoint) || drainReports.isDraining(endpoint);
  }

  private void reject(Rejection rejection) {
    CallerRequest request = queuedRequests.remove(rejection.request().requestId());
    network.callers().handleRejection(request, rejection.retryAfterMillis());
  }

  private long now() {
    return network.scheduler().nowNanos();
  }
}
