package org.mustardstage.core.route;

import com.google.common.base.Preconditions;

/**
 * How long a message takes one way.
 *
 * @param withinZoneNanos between two VMs of a zone
 * @param betweenZonesNanos between zones of a region
 * @param betweenRegionsNanos between regions
 */
public record NetworkDelays(
    long withinZoneNanos, long betweenZonesNanos, long betweenRegionsNanos) {
  /** The delays used until others are measured. */
  public static final NetworkDelays DEFAULT = new NetworkDelays(200_000, 1_000_000, 55_000_000);

  /** Checks that the delays grow with the distance. */
  public NetworkDelays {
    Preconditions.checkArgument(withinZoneNanos >= 0, "delay must not be negative");
    Preconditions.checkArgument(betweenZonesNanos >= withinZoneNanos, "zones nearer than a zone");
    Preconditions.checkArgument(betweenRegionsNanos >= betweenZonesNanos, "regions nearer");
  }

  /** Returns the time there and back to an endpoint. */
  public long roundTripNanos(Proximity proximity) {
    return 2
        * switch (proximity) {
          case OWN_ZONE -> withinZoneNanos;
          case OWN_REGION -> betweenZonesNanos;
          case OTHER_REGION -> betweenRegionsNanos;
        };
  }
}
