package org.mustardstage.core.route;

import com.google.common.base.Preconditions;

/**
 * The one-way network delays that are assumed by distance.
 *
 * @param withinZoneNanos the delay between two VMs of a zone
 * @param betweenZonesNanos the delay between zones of a region
 * @param betweenRegionsNanos the delay between regions
 */
public record NetworkDelays(
    long withinZoneNanos, long betweenZonesNanos, long betweenRegionsNanos) {
  /** The default delays. */
  public static final NetworkDelays DEFAULT = new NetworkDelays(200_000, 1_000_000, 55_000_000);

  /** Checks that the delays don't decrease with distance. */
  public NetworkDelays {
    Preconditions.checkArgument(withinZoneNanos >= 0, "withinZoneNanos must not be negative");
    Preconditions.checkArgument(
        betweenZonesNanos >= withinZoneNanos, "betweenZonesNanos must be at least withinZoneNanos");
    Preconditions.checkArgument(
        betweenRegionsNanos >= betweenZonesNanos,
        "betweenRegionsNanos must be at least betweenZonesNanos");
  }

  /** Returns the round-trip time to an endpoint. */
  public long roundTripNanos(Proximity proximity) {
    return 2
        * switch (proximity) {
          case OWN_ZONE -> withinZoneNanos;
          case OWN_REGION -> betweenZonesNanos;
          case OTHER_REGION -> betweenRegionsNanos;
        };
  }
}
