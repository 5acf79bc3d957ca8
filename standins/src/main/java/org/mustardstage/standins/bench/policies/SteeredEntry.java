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

/** An entry VM that decides by the classes of the core. */
final class SteeredEntry implements EntryModel {
  private static final long DRAIN_HOLD_NANOS = 10_000_000_000L;

  private final Network network;
  private final int zone;
  private final boolean reports;
  private final Consumer<ModelEndpoint> onFreed;
  private final RequestQueue queue;
  private final EndpointRouter router;
  private final DrainReports drainReports = new DrainReports(DRAIN_HOLD_NANOS);
  private final Set<EndpointId> drained = new HashSet<>();
  private final Map<Long, Attempt> waiting = new HashMap<>();
  private final Map<EndpointId, ModelEndpoint> endpoints = new HashMap<>();

  SteeredEntry(
      Network network,
      ModelService service,
      int zone,
      boolean reports,
      RandomGenerator random,
      Consumer<ModelEndpoint> onFreed) {
    this.network = network;
    this.zone = zone;
    this.reports = reports;
    this.onFreed = onFreed;
    this.queue = new RequestQueue(QueueSettings.DEFAULT, RetryAfterSettings.DEFAULT, random);
    this.router = new EndpointRouter(RouterSettings.DEFAULT, random);
    List<EndpointLocation> sites = new ArrayList<>();
    for (ModelEndpoint endpoint : network.endpoints()) {
      endpoints.put(endpoint.id, endpoint);
      RegionId region = new RegionId("r" + endpoint.region());
      sites.add(
          new EndpointLocation(
              endpoint.id, region, Network.proximity(zone, endpoint), endpoint.slots));
    }
    router.updateEndpoints(0, service.objective(), sites);
    router.setEntryVmCount(ModelService.ENTRY_VMS);
  }

  @Override
  public void arrive(Attempt attempt) {
    long nowNanos = now();
    long deadlineNanos = attempt.deadlineNanos() - network.callers().delayNanos();
    QueuedRequest offered =
        new QueuedRequest(attempt.id, attempt.call.priority(), nowNanos, deadlineNanos);
    waiting.put(attempt.id, attempt);
    OfferResult result = queue.offer(nowNanos, offered);
    result.displaced().forEach(this::refuse);
    if (result instanceof OfferResult.Rejected refused) {
      refuse(refused.rejection());
    }
    dispatch();
  }

  @Override
  public void dispatch() {
    queue.expire(now()).forEach(this::refuse);
    boolean sent = queue.size() > 0;
    while (sent) {
      sent = queue.peek(now()).flatMap(this::reserve).map(this::sendNext).isPresent();
    }
  }

  @Override
  public void onReports() {
    if (reports) {
      endpoints.values().forEach(e -> router.recordLoadReport(now(), e.id, e.reportedShare()));
    }
    endpoints.values().forEach(this::observeDrain);
  }

  @Override
  public void onDrain(ModelEndpoint endpoint) {
    drained.add(endpoint.id);
    router.updateLeaving(now(), this::isLeaving);
  }

  private Optional<ModelEndpoint> reserve(QueuedRequest next) {
    RouteRequest request =
        new RouteRequest(
            queue.expectedWaitNanos(now(), Priority.INTERACTIVE),
            next.priority() != Priority.NON_IDEMPOTENT,
            ImmutableSet.of(),
            region -> true);
    for (EndpointId candidate : router.candidates(now(), request)) {
      if (endpoints.get(candidate).tryReserve()) {
        return Optional.of(endpoints.get(candidate));
      }
    }
    return Optional.empty();
  }

  private ModelEndpoint sendNext(ModelEndpoint endpoint) {
    Attempt attempt = waiting.remove(queue.poll(now()).next().orElseThrow().requestId());
    long sentNanos = now();
    router.recordSent(endpoint.id);
    network.send(zone, endpoint, attempt, ran -> onAnswer(endpoint, attempt, sentNanos));
    return endpoint;
  }

  private void onAnswer(ModelEndpoint endpoint, Attempt attempt, long sentNanos) {
    long latencyNanos = now() - sentNanos;
    endpoint.release();
    router.recordResponse(now(), endpoint.id, latencyNanos);
    queue.recordLatency(now(), attempt.call.priority(), latencyNanos);
    if (reports) {
      router.recordLoadReport(now(), endpoint.id, endpoint.reportedShare());
    }
    observeDrain(endpoint);
    network.callers().answered(attempt);
    onFreed.accept(endpoint);
  }

  private void observeDrain(ModelEndpoint endpoint) {
    if (drainReports.recordReport(now(), endpoint.id, endpoint.draining)) {
      router.updateLeaving(now(), this::isLeaving);
    }
  }

  private boolean isLeaving(EndpointId endpoint) {
    return drained.contains(endpoint) || drainReports.isDraining(endpoint);
  }

  private void refuse(Rejection refusal) {
    Attempt attempt = waiting.remove(refusal.request().requestId());
    network.callers().refused(attempt, refusal.retryAfterMillis());
  }

  private long now() {
    return network.events().nowNanos();
  }
}
