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
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;

/** Rules, services and endpoints for tests of placement. */
final class Scenes {
  static final long MILLI = 1_000_000L;
  static final long SECOND = 1_000 * MILLI;
  static final ServiceName SERVICE = new ServiceName("swatches");
  static final ZoneId NEAR_ZONE = new ZoneId("north-a");
  static final ZoneId SIBLING_ZONE = new ZoneId("north-b");
  static final ZoneId FAR_ZONE = new ZoneId("south-a");
  static final RegionId NEAR = new RegionId("north");
  static final RegionId FAR = new RegionId("south");

  private Scenes() {}

  static RoundTripEstimates roundTrips() {
    return new RoundTripEstimates(
        NEAR_ZONE, NEAR, ImmutableMap.of(NEAR_ZONE, NEAR, SIBLING_ZONE, NEAR, FAR_ZONE, FAR));
  }

  static RegionShiftLimiter regionShares() {
    return regionShares(1);
  }

  static RegionShiftLimiter regionShares(double phase) {
    return new RegionShiftLimiter(new RegionShiftLimit(0.15, Duration.ofSeconds(2)), phase);
  }

  static ServiceSpec spec(double coldPerSecond) {
    return new ServiceSpec(SERVICE, "/health", 700, 3_000, coldPerSecond);
  }

  static RoutingRule rule(String name, int rank, long aimMillis) {
    return new RoutingRule(
        name,
        "/" + name + "/",
        true,
        aimMillis,
        rank,
        true,
        List.of(new WeightedService(SERVICE, 1)),
        5_000,
        2,
        ImmutableSet.of());
  }

  static RegisteredEndpoint endpoint(String id, ZoneId zone, int slots) {
    return endpoint(id, zone, slots, 1);
  }

  static RegisteredEndpoint endpoint(String id, ZoneId zone, int slots, long bornMillis) {
    return new RegisteredEndpoint(
        new EndpointId(id),
        SERVICE,
        new HostAndPort("10.0.0.1", 8_000),
        zone,
        slots,
        false,
        0,
        bornMillis);
  }

  static UsableEndpoint usable(RegisteredEndpoint endpoint) {
    return new UsableEndpoint(endpoint, 0);
  }

  static SchedulerRequest ask(long id, RoutingRule rule, String object, long nowNanos) {
    return ask(id, rule, object, nowNanos, Set.of());
  }

  static SchedulerRequest ask(
      long id, RoutingRule rule, String object, long nowNanos, Set<EndpointId> tried) {
    return new SchedulerRequest(
        id,
        rule,
        Optional.of(object),
        nowNanos,
        nowNanos + rule.latencyObjectiveMillis() * MILLI,
        nowNanos + rule.timeoutMillis() * MILLI,
        tried);
  }

  static AttemptResult end(AttemptResult.Status result, long elapsedNanos) {
    return new AttemptResult(result, elapsedNanos, Optional.empty(), Optional.empty());
  }

  static ImmutableList<UsableEndpoint> endpoints(ZoneId zone, int count, int slots) {
    ImmutableList.Builder<UsableEndpoint> endpoints = ImmutableList.builder();
    for (int i = 0; i < count; i++) {
      endpoints.add(usable(endpoint(zone.value() + "-" + i, zone, slots)));
    }
    return endpoints.build();
  }
}
