package org.mustardstage.core.manifest.check;

import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableSet;
import java.util.Set;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.Drain;
import org.mustardstage.core.manifest.DrainTarget;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.core.manifest.Manifest;

/**
 * The endpoints that the drains of a manifest empty.
 *
 * @param endpoints the endpoints that are drained by name
 * @param zones the zones whose endpoints are all drained
 */
record DrainedEndpoints(Set<EndpointId> endpoints, Set<ZoneId> zones) {
  DrainedEndpoints {
    endpoints = ImmutableSet.copyOf(endpoints);
    zones = ImmutableSet.copyOf(zones);
  }

  static DrainedEndpoints of(Manifest manifest) {
    return new DrainedEndpoints(
        targets(manifest, DrainTarget.OfEndpoint.class).stream()
            .map(DrainTarget.OfEndpoint::endpoint)
            .collect(toImmutableSet()),
        targets(manifest, DrainTarget.OfZone.class).stream()
            .map(DrainTarget.OfZone::zone)
            .collect(toImmutableSet()));
  }

  boolean isRemaining(Endpoint endpoint) {
    return !endpoints.contains(endpoint.id()) && !zones.contains(endpoint.zone());
  }

  private static <T extends DrainTarget> ImmutableSet<T> targets(Manifest manifest, Class<T> type) {
    return manifest.drains().stream()
        .map(Drain::target)
        .filter(type::isInstance)
        .map(type::cast)
        .collect(toImmutableSet());
  }
}
