package org.mustardstage.core.gateway;

import com.google.common.base.Preconditions;
import com.google.common.net.InetAddresses;
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
  /** Sums of the slots of a few thousand endpoints stay within the range of an int. */
  private static final int MAX_SLOTS = 1_000_000;

  /**
   * The longest remaining cold time: 1e9 seconds, which stay within the range of a long as
   * nanoseconds.
   */
  public static final long MAX_COLD_MILLIS = 1_000_000_000_000L;

  /** Checks the ranges, and that the address needs no name lookup, which would block a thread. */
  public RegisteredEndpoint {
    Preconditions.checkArgument(
        InetAddresses.isInetAddress(address.host()),
        "endpoint %s: the host of its address must be an IP address: %s",
        id,
        address);
    Preconditions.checkArgument(
        slots > 0 && slots <= MAX_SLOTS,
        "endpoint %s: slots must be from 1 to %s: %s",
        id,
        MAX_SLOTS,
        slots);
    Preconditions.checkArgument(
        coldRemainingMillis >= 0 && coldRemainingMillis <= MAX_COLD_MILLIS,
        "endpoint %s: remaining cold time must be from 0 to %s ms: %s",
        id,
        MAX_COLD_MILLIS,
        coldRemainingMillis);
    Preconditions.checkArgument(
        startTimeMillis >= 0,
        "endpoint %s: start time must not be negative: %s",
        id,
        startTimeMillis);
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
