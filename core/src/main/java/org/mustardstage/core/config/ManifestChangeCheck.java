package org.mustardstage.core.config;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.Service;
import org.mustardstage.core.manifest.Zone;

/** Checks whether a manifest may replace the active one. */
public final class ManifestChangeCheck {
  private ManifestChangeCheck() {}

  /**
   * Returns the changes from {@code before} to {@code after} that are not allowed; empty if {@code
   * after} may replace {@code before}.
   */
  public static ImmutableList<ManifestChangeProblem> check(Manifest before, Manifest after) {
    ImmutableList.Builder<ManifestChangeProblem> problems = ImmutableList.builder();
    Map<EndpointId, ZoneId> zones = zonesByEndpoint(before);
    zonesByEndpoint(after)
        .forEach(
            (endpoint, zone) -> {
              ZoneId zoneBefore = zones.get(endpoint);
              if (zoneBefore != null && !zoneBefore.equals(zone)) {
                problems.add(
                    new ManifestChangeProblem.EndpointChangedZone(endpoint, zoneBefore, zone));
              }
            });
    for (Zone zone : after.zones()) {
      before
          .findRegion(zone.id())
          .filter(region -> !region.equals(zone.region()))
          .ifPresent(region -> problems.add(zoneChangedRegion(zone, region)));
    }
    return problems.build();
  }

  private static ManifestChangeProblem zoneChangedRegion(Zone zone, RegionId before) {
    return new ManifestChangeProblem.ZoneChangedRegion(zone.id(), before, zone.region());
  }

  private static Map<EndpointId, ZoneId> zonesByEndpoint(Manifest manifest) {
    Map<EndpointId, ZoneId> zones = new HashMap<>();
    for (Service service : manifest.services()) {
      for (Endpoint endpoint : service.endpoints()) {
        zones.put(endpoint.id(), endpoint.zone());
      }
    }
    return zones;
  }
}
