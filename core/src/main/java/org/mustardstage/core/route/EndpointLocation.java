package org.mustardstage.core.route;

import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.Endpoint;

/**
 * The region, capacity and distance of an endpoint, as seen from one entry VM.
 *
 * @param id the endpoint
 * @param region the region of the endpoint
 * @param proximity how close the endpoint is to the entry VM
 * @param slots the number of requests that the endpoint may run at the same time
 */
public record EndpointLocation(EndpointId id, RegionId region, Proximity proximity, int slots) {
  /** Returns the location of {@code endpoint} as seen from an entry VM in {@code ownZone}. */
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
