package org.mustardstage.core.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.Objective;
import org.mustardstage.core.manifest.Service;
import org.mustardstage.core.manifest.Zone;

/** Checks which parts of an active manifest a new one may not change. */
class ManifestChangeCheckTest {
  private static final ZoneId ZONE_A = new ZoneId("regina-a");
  private static final ZoneId ZONE_B = new ZoneId("regina-b");
  private static final RegionId REGINA = new RegionId("regina");
  private static final RegionId BRANDON = new RegionId("brandon");

  @Test
  void endpointMayChangeItsSlots() {
    assertThat(
        ManifestChangeCheck.check(manifest(ZONE_A, REGINA, 9), manifest(ZONE_A, REGINA, 3)),
        empty());
  }

  @Test
  void endpointMayNotChangeItsZone() {
    assertThat(
        ManifestChangeCheck.check(manifest(ZONE_A, REGINA, 9), manifest(ZONE_B, REGINA, 9)),
        contains(
            new ManifestChangeProblem.EndpointChangedZone(
                new EndpointId("desk-1"), ZONE_A, ZONE_B)));
  }

  @Test
  void zoneMayNotChangeItsRegion() {
    assertThat(
        ManifestChangeCheck.check(manifest(ZONE_A, REGINA, 9), manifest(ZONE_A, BRANDON, 9)),
        contains(new ManifestChangeProblem.ZoneChangedRegion(ZONE_B, REGINA, BRANDON)));
  }

  private static Manifest manifest(ZoneId endpointZone, RegionId regionOfZoneB, int slots) {
    Endpoint endpoint =
        new Endpoint(
            new EndpointId("desk-1"), endpointZone, new HostAndPort("127.0.0.1", 1), slots, 700);
    Service service =
        new Service(
            new ServiceName("order-desk"),
            Objective.LATENCY,
            List.of(),
            List.of(endpoint),
            List.of());
    return new Manifest(
        "test",
        1_000,
        List.of(new Zone(ZONE_A, REGINA), new Zone(ZONE_B, regionOfZoneB)),
        List.of(),
        List.of(service),
        List.of(),
        List.of(),
        List.of());
  }
}
