package org.mustardstage.core.placement;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.gateway.RoutingRule;
import org.mustardstage.core.gateway.ServiceSpec;
import org.mustardstage.core.gateway.WeightedService;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;

/** Rules, services and endpoints for tests of placement. */
final class PlacementFixtures {
  static final long NANOS_PER_MILLI = 1_000_000L;
  static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;
  static final ServiceName SERVICE = new ServiceName("swatches");
  static final ZoneId OWN_ZONE = new ZoneId("north-a");
  static final ZoneId OTHER_ZONE = new ZoneId("north-b");
  static final ZoneId REMOTE_ZONE = new ZoneId("south-a");
  static final RegionId OWN_REGION = new RegionId("north");
  static final RegionId REMOTE_REGION = new RegionId("south");

  private PlacementFixtures() {}

  static RoundTripEstimates roundTrips() {
    return new RoundTripEstimates(
        OWN_ZONE,
        OWN_REGION,
        ImmutableMap.of(OWN_ZONE, OWN_REGION, OTHER_ZONE, OWN_REGION, REMOTE_ZONE, REMOTE_REGION));
  }

  static RegionShiftLimiter regionShiftLimiter() {
    return regionShiftLimiter(1);
  }

  static RegionShiftLimiter regionShiftLimiter(double burstAllowance) {
    return new RegionShiftLimiter(
        new RegionShiftLimit(0.15, Duration.ofSeconds(2)), burstAllowance);
  }

  static EndpointLimits endpointLimits() {
    return new EndpointLimits(new VmId("vm-1"), zone -> roundTrips().regionOf(zone), 0);
  }

  static ServiceSpec spec(double coldRequestsPerSecond) {
    return new ServiceSpec(SERVICE, "/health", 700, 3_000, coldRequestsPerSecond);
  }

  static RoutingRule rule(String name, int priority, long latencyObjectiveMillis) {
    return new RoutingRule(
        name,
        "/" + name + "/",
        true,
        latencyObjectiveMillis,
        priority,
        true,
        List.of(new WeightedService(SERVICE, 1)),
        5_000,
        2,
        ImmutableSet.of());
  }

  static RegisteredEndpoint endpoint(String id, ZoneId zone, int slots) {
    return endpoint(id, zone, slots, 1);
  }

  static RegisteredEndpoint endpoint(String id, ZoneId zone, int slots, long startTimeMillis) {
    return new RegisteredEndpoint(
        new EndpointId(id),
        SERVICE,
        new HostAndPort("10.0.0.1", 8_000),
        zone,
        slots,
        false,
        0,
        startTimeMillis);
  }

  static UsableEndpoint usable(RegisteredEndpoint endpoint) {
    return new UsableEndpoint(endpoint, 0);
  }

  static SchedulerRequest request(long id, RoutingRule rule, String affinityKey, long nowNanos) {
    return request(id, rule, affinityKey, nowNanos, Set.of());
  }

  static SchedulerRequest request(
      long id,
      RoutingRule rule,
      String affinityKey,
      long nowNanos,
      Set<EndpointId> excludedEndpoints) {
    return new SchedulerRequest(
        id,
        rule,
        Optional.empty(),
        Optional.of(affinityKey),
        nowNanos,
        nowNanos + rule.latencyObjectiveMillis() * NANOS_PER_MILLI,
        nowNanos + rule.timeoutMillis() * NANOS_PER_MILLI,
        excludedEndpoints);
  }

  static AttemptResult result(AttemptResult.Status status, long elapsedNanos) {
    return new AttemptResult(
        status, elapsedNanos, Optional.empty(), Optional.empty(), EndpointNotice.NONE);
  }

  static ImmutableList<UsableEndpoint> endpoints(ZoneId zone, int count, int slots) {
    ImmutableList.Builder<UsableEndpoint> endpoints = ImmutableList.builder();
    for (int i = 0; i < count; i++) {
      endpoints.add(usable(endpoint(zone.value() + "-" + i, zone, slots)));
    }
    return endpoints.build();
  }
}
