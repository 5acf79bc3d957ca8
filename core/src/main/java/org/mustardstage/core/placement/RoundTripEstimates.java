package org.mustardstage.core.placement;

import java.util.HashMap;
import java.util.Map;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.route.NetworkDelays;
import org.mustardstage.core.route.Proximity;

/** Estimates the network round-trip time to each zone from the time to open connections. */
public final class RoundTripEstimates {
  /** Smoothing factor; the estimate follows a change after a few connections. */
  private static final double SMOOTHING_FACTOR = 0.2;

  private final ZoneId ownZone;
  private final RegionId ownRegion;
  private final Map<ZoneId, RegionId> regionByZone;
  private final Map<ZoneId, Double> estimatedNanos = new HashMap<>();

  /** Creates default estimates for round trips from {@code ownZone}. */
  public RoundTripEstimates(
      ZoneId ownZone, RegionId ownRegion, Map<ZoneId, RegionId> regionByZone) {
    this.ownZone = ownZone;
    this.ownRegion = ownRegion;
    this.regionByZone = Map.copyOf(regionByZone);
  }

  /** Records how long it took to open a connection to {@code zone}. */
  public void addSample(ZoneId zone, long nanos) {
    estimatedNanos.merge(
        zone, (double) nanos, (average, sample) -> average + SMOOTHING_FACTOR * (sample - average));
  }

  /** Returns the estimated round-trip time to {@code zone}. */
  public long roundTripNanos(ZoneId zone) {
    Double estimate = estimatedNanos.get(zone);
    return estimate == null
        ? NetworkDelays.DEFAULT.roundTripNanos(proximityOf(zone))
        : estimate.longValue();
  }

  /** Returns whether {@code zone} is the own zone, in the own region or in another one. */
  public Proximity proximityOf(ZoneId zone) {
    if (zone.equals(ownZone)) {
      return Proximity.OWN_ZONE;
    }
    return ownRegion.equals(regionByZone.get(zone)) ? Proximity.OWN_REGION : Proximity.OTHER_REGION;
  }

  /** Returns the region of the VM. */
  public RegionId ownRegion() {
    return ownRegion;
  }

  /** Returns the region of {@code zone}, or the own region if the zone is unknown. */
  public RegionId regionOf(ZoneId zone) {
    return regionByZone.getOrDefault(zone, ownRegion);
  }

  /** Returns the region of an endpoint. */
  RegionId regionOf(EndpointState state) {
    return regionOf(state.endpoint().zone());
  }

  /** Returns whether an endpoint is in the VM's region. */
  boolean isInOwnRegion(EndpointState state) {
    return proximityOf(state.endpoint().zone()) != Proximity.OTHER_REGION;
  }
}
