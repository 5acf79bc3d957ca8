package org.mustardstage.core.gateway;

import com.google.common.base.Preconditions;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;

/**
 * An endpoint's latest entry in the platform's registry.
 *
 * @param id the id of the endpoint
 * @param service the service that it runs
 * @param address where it accepts requests
 * @param zone the zone that it runs in
 * @param slots the number of requests that it can run at the same time
 * @param draining whether it is about to stop
 * @param coldRemainingMillis how much longer it stays cold, from when the entry was written
 * @param startTimeMillis when it started, in milliseconds since the epoch; tells its incarnations
 *     apart
 */
public record RegisteredEndpoint(
    EndpointId id,
    ServiceName service,
    HostAndPort address,
    ZoneId zone,
    int slots,
    boolean draining,
    long coldRemainingMillis,
    long startTimeMillis) {
  /** Checks the ranges. */
  public RegisteredEndpoint {
    Preconditions.checkArgument(slots > 0, "endpoint %s: slots must be positive: %s", id, slots);
    Preconditions.checkArgument(
        coldRemainingMillis >= 0,
        "endpoint %s: remaining cold time must not be negative: %s",
        id,
        coldRemainingMillis);
  }

  /** Returns this entry as that of an endpoint that is about to stop. */
  public RegisteredEndpoint asDraining() {
    return new RegisteredEndpoint(
        id, service, address, zone, slots, true, coldRemainingMillis, startTimeMillis);
  }

  /** Returns whether {@code other} is the same process at the same address for the same service. */
  public boolean isSameIncarnationAs(RegisteredEndpoint other) {
    return id.equals(other.id)
        && startTimeMillis == other.startTimeMillis
        && address.equals(other.address)
        && service.equals(other.service);
  }
}
