package org.mustardstage.core.gateway;

import com.google.common.base.Preconditions;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;

/**
 * What an endpoint last said of itself in the platform's register.
 *
 * @param id its id
 * @param service the service that it runs
 * @param address where it takes requests
 * @param zone its zone
 * @param slots the requests that it runs at once
 * @param draining whether it is about to stop
 * @param coldLeftMillis how long it said it stays cold, from when it said so
 * @param bornMillis when it started, in milliseconds since the epoch; tells its runs apart
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
    Preconditions.checkArgument(slots > 0, "endpoint %s has no slots", id);
    Preconditions.checkArgument(coldRemainingMillis >= 0, "endpoint %s: negative cold time", id);
  }

  /** Returns whether {@code other} is the same run of the same endpoint at the same place. */
  public boolean isSameIncarnationAs(RegisteredEndpoint other) {
    return id.equals(other.id)
        && startTimeMillis == other.startTimeMillis
        && address.equals(other.address)
        && service.equals(other.service);
  }
}
