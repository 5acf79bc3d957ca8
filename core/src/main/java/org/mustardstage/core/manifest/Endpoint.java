package org.mustardstage.core.manifest;

import com.google.common.base.Preconditions;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.ZoneId;

/**
 * An endpoint of a service.
 *
 * @param id the name of the endpoint, unique in the manifest
 * @param zone the zone that it runs in
 * @param address the address at which it accepts requests
 * @param slots the number of requests that it may run at once
 * @param connections the number of connections that it accepts
 */
public record Endpoint(
    EndpointId id, ZoneId zone, HostAndPort address, int slots, int connections) {
  /** Checks that the limits are positive. */
  public Endpoint {
    Preconditions.checkArgument(slots > 0, "slots must be positive");
    Preconditions.checkArgument(connections > 0, "connections must be positive");
  }
}
