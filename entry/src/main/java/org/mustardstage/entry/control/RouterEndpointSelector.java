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

/**
 * Selects endpoints by their reported load, latency and failures, within the configured limits on
 * attempts per region.
 */
final class RouterEndpointSelector implements EndpointSelector {
  private static final long MAX_EXPECTED_WAIT_NANOS = Duration.ofMillis(200).toNanos();

  private final ZoneId zone;
  private final RegionId region;
  private final IntSupplier entryVmCount;
  private final EndpointRouter router;
  private Map<EndpointId, Endpoint> endpoints = ImmutableMap.of();
  private Map<EndpointId, RegionId> regions = ImmutableMap.of();
  private List<PlaceLimit> configuredLimits = List.of();
  private RegionLimits regionLimits = new RegionLimits(0, List.of(), 1);
  private int limitsEntryVmCount = 1;

  /**
   * Creates the selector of one service.
   *
   * @param entryVmCount returns the number of entry VMs among which the rate limits are divided
   */
  RouterEndpointSelector(
      ZoneId zone, RegionId region, IntSupplier entryVmCount, RandomGenerator random) {
    this.zone = zone;
    this.region = region;
    this.entryVmCount = entryVmCount;
    this.router = new EndpointRouter(RouterSettings.DEFAULT, random);
  }

  @Override
  public void updateService(long nowNanos, Manifest manifest, Service service) {
    ImmutableMap.Builder<EndpointId, Endpoint> byId = ImmutableMap.builder();
    ImmutableMap.Builder<EndpointId, RegionId> regionById = ImmutableMap.builder();
    for (Endpoint endpoint : service.endpoints()) {
      byId.put(endpoint.id(), endpoint);
      regionById.put(endpoint.id(), manifest.findRegion(endpoint.zone()).orElseThrow());
    }
    endpoints = byId.buildOrThrow();
    regions = regionById.buildOrThrow();
    List<EndpointLocation> locations =
        service.endpoints().stream()
            .map(e -> EndpointLocation.of(e, regions.get(e.id()), zone, region))
            .toList();
    router.updateEndpoints(nowNanos, service.objective(), locations);
    if (!configuredLimits.equals(service.placeLimits())) {
      configuredLimits = service.placeLimits();
      limitsEntryVmCount = 0;
    }
  }

  @Override
  public void updateLeaving(long nowNanos, Predicate<EndpointId> isLeaving) {
    router.updateLeaving(nowNanos, isLeaving);
  }

  @Override
  public void recordFirstAttempt() {
    regionLimits.recordFirstAttempt();
  }

  @Override
  public List<Endpoint> findCandidates(
      long nowNanos, AdmissionRequest request, long expectedWaitNanos) {
    updateLimitsIfVmCountChanged(nowNanos);
    RouteRequest route =
        new RouteRequest(
            Math.min(expectedWaitNanos, MAX_EXPECTED_WAIT_NANOS),
            request.call().idempotent(),
            request.excluded(),
            candidateRegion -> regionLimits.maySend(nowNanos, candidateRegion));
    return router.candidates(nowNanos, route).stream().map(endpoints::get).toList();
  }

  private void updateLimitsIfVmCountChanged(long nowNanos) {
    int currentVmCount = Math.max(1, entryVmCount.getAsInt());
    if (currentVmCount != limitsEntryVmCount) {
      limitsEntryVmCount = currentVmCount;
      router.setEntryVmCount(currentVmCount);
      regionLimits = new RegionLimits(nowNanos, configuredLimits, currentVmCount);
    }
  }

  @Override
  public void recordSent(long nowNanos, EndpointId endpoint) {
    router.recordSent(endpoint);
    Optional.ofNullable(regions.get(endpoint))
        .ifPresent(attemptRegion -> regionLimits.recordAttempt(nowNanos, attemptRegion));
  }

  @Override
  public void recordResult(long nowNanos, EndpointId endpoint, AttemptReport report) {
    switch (report.result()) {
      case ANSWERED -> router.recordResponse(nowNanos, endpoint, report.latencyNanos());
      case NEVER_SENT, CANCELLED -> router.recordNeverSent(endpoint);
      case REFUSED, UNKNOWN -> router.recordFailure(nowNanos, endpoint, report.latencyNanos());
    }
    report
        .utilization()
        .ifPresent(utilization -> router.recordLoadReport(nowNanos, endpoint, utilization));
  }
}
