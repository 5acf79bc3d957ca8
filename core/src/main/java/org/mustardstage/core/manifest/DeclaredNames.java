package org.mustardstage.core.manifest;

import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableSet;
import java.util.Set;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.ZoneId;

/**
 * The names that a manifest declares and that its other parts may refer to.
 *
 * @param zones the names of the zones
 * @param regions the names of the regions that contain zones
 * @param services the names of the services
 * @param endpoints the names of the endpoints of all services
 */
public record DeclaredNames(
    Set<ZoneId> zones,
    Set<RegionId> regions,
    Set<ServiceName> services,
    Set<EndpointId> endpoints) {
  /** Copies the sets. */
  public DeclaredNames {
    zones = ImmutableSet.copyOf(zones);
    regions = ImmutableSet.copyOf(regions);
    services = ImmutableSet.copyOf(services);
    endpoints = ImmutableSet.copyOf(endpoints);
  }

  /** Returns the names that {@code manifest} declares. */
  public static DeclaredNames of(Manifest manifest) {
    return new DeclaredNames(
        manifest.zones().stream().map(Zone::id).collect(toImmutableSet()),
        manifest.zones().stream().map(Zone::region).collect(toImmutableSet()),
        manifest.services().stream().map(Service::name).collect(toImmutableSet()),
        manifest.services().stream()
            .flatMap(service -> service.endpoints().stream())
            .map(Endpoint::id)
            .collect(toImmutableSet()));
  }
}
