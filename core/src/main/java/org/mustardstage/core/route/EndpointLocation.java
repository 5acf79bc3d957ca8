package org.mustardstage.core.route;

import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.Endpoint;

/**
 * An endpoint as one entry VM sees it.
 *
 * @param id the endpoint
 * @param region the region it lies in
 * @param proximity how close it is
 * @param slots the number of requests it may run at once
 */
public record EndpointLocation(EndpointId id, RegionId region, Proximity proximity, int slots) {
  /** Returns {@code endpoint} of {@code region} as seen from another place. */
  public static EndpointLocation of(
      Endpoint endpoint, RegionId region, ZoneId ownZone, RegionId ownRegion) {
    return new EndpointLocation(
        endpoint.id(),
        region,
        proximity(endpoint.zone(), region, ownZone, ownRegion),
        endpoint.slots());
  }

  private static Proximity proximity(
      ZoneId zone, RegionId region, ZoneId ownZone, RegionId ownRegion) {
    if (zone.equals(ownZone)) {
      return Proximity.OWN_ZONE;
    }
    return region.equals(ownRegion) ? Proximity.OWN_REGION : Proximity.OTHER_REGION;
  }
}
