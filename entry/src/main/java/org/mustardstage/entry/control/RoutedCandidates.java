package org.mustardstage.entry.control;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.PlaceLimit;
import org.mustardstage.core.manifest.Service;
import org.mustardstage.core.route.EndpointLocation;
import org.mustardstage.core.route.EndpointRouter;
import org.mustardstage.core.route.RegionLimits;
import org.mustardstage.core.route.RouteRequest;
import org.mustardstage.core.route.RouterSettings;

/** Chooses endpoints by what is known of them, within the limits of places. */
final class RoutedCandidates implements ServiceCandidates {
  private static final long EXPECTED_WAIT_FULL_NANOS = Duration.ofMillis(200).toNanos();

  private final ZoneId zone;
  private final RegionId region;
  private final IntSupplier senders;
  private final EndpointRouter router;
  private Map<EndpointId, Endpoint> endpoints = ImmutableMap.of();
  private Map<EndpointId, RegionId> regions = ImmutableMap.of();
  private List<PlaceLimit> limits = List.of();
  private RegionLimits placeLimits = new RegionLimits(0, List.of(), 1);
  private int limitSenders = 1;

  /**
   * Creates the choice of one service.
   *
   * @param senders the number of entry VMs among which rates are divided
   */
  RoutedCandidates(ZoneId zone, RegionId region, IntSupplier senders, RandomGenerator random) {
    this.zone = zone;
    this.region = region;
    this.senders = senders;
    this.router = new EndpointRouter(RouterSettings.DEFAULT, random);
  }

  @Override
  public void onService(long nowNanos, Manifest manifest, Service service) {
    ImmutableMap.Builder<EndpointId, Endpoint> byId = ImmutableMap.builder();
    ImmutableMap.Builder<EndpointId, RegionId> regionById = ImmutableMap.builder();
    for (Endpoint endpoint : service.endpoints()) {
      byId.put(endpoint.id(), endpoint);
      regionById.put(endpoint.id(), manifest.findRegion(endpoint.zone()).orElseThrow());
    }
    endpoints = byId.buildOrThrow();
    regions = regionById.buildOrThrow();
    List<EndpointLocation> sites =
        service.endpoints().stream()
            .map(e -> EndpointLocation.of(e, regions.get(e.id()), zone, region))
            .toList();
    router.updateEndpoints(nowNanos, service.objective(), sites);
    if (!limits.equals(service.placeLimits())) {
      limits = service.placeLimits();
      limitSenders = 0;
    }
  }

  @Override
  public void onLeaving(long nowNanos, Predicate<EndpointId> isLeaving) {
    router.updateLeaving(nowNanos, isLeaving);
  }

  @Override
  public void onArrival() {
    placeLimits.recordFirstAttempt();
  }

  @Override
  public List<Endpoint> find(long nowNanos, AdmissionRequest request, long expectedWaitNanos) {
    refreshLimits(nowNanos);
    RouteRequest route =
        new RouteRequest(
            Math.min(expectedWaitNanos, EXPECTED_WAIT_FULL_NANOS),
            request.call().idempotent(),
            request.excluded(),
            candidate -> placeLimits.maySend(nowNanos, candidate));
    return router.candidates(nowNanos, route).stream().map(endpoints::get).toList();
  }

  private void refreshLimits(long nowNanos) {
    int now = Math.max(1, senders.getAsInt());
    if (now != limitSenders) {
      limitSenders = now;
      router.setEntryVmCount(now);
      placeLimits = new RegionLimits(nowNanos, limits, now);
    }
  }

  @Override
  public void onSent(long nowNanos, EndpointId endpoint) {
    router.recordSent(endpoint);
    Optional.ofNullable(regions.get(endpoint))
        .ifPresent(place -> placeLimits.recordAttempt(nowNanos, place));
  }

  @Override
  public void onEnd(long nowNanos, EndpointId endpoint, AttemptReport end) {
    switch (end.result()) {
      case ANSWERED -> router.recordResponse(nowNanos, endpoint, end.latencyNanos());
      case NEVER_SENT, CANCELLED -> router.recordNeverSent(endpoint);
      case REFUSED, UNKNOWN -> router.recordFailure(nowNanos, endpoint, end.latencyNanos());
    }
    end.utilization().ifPresent(share -> router.recordLoadReport(nowNanos, endpoint, share));
  }
}
