package org.mustardstage.core.placement;

import java.util.HashMap;
import java.util.Map;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.route.NetworkDelays;
import org.mustardstage.core.route.Proximity;

/** How long a message takes to each zone and back, learned from how long connections take. */
public final class RoundTripEstimates {
  /** The weight of one connection; a few connections are enough to follow a change. */
  private static final double SAMPLE_WEIGHT = 0.2;

  private final ZoneId ownZone;
  private final RegionId ownRegion;
  private final Map<ZoneId, RegionId> regions;
  private final Map<ZoneId, Double> learnedNanos = new HashMap<>();

  /** Creates the times as seen from {@code ownZone}. */
  public RoundTripEstimates(ZoneId ownZone, RegionId ownRegion, Map<ZoneId, RegionId> regions) {
    this.ownZone = ownZone;
    this.ownRegion = ownRegion;
    this.regions = Map.copyOf(regions);
  }

  /** Takes in how long a connection to {@code zone} took. */
  public void addSample(ZoneId zone, long nanos) {
    learnedNanos.merge(zone, (double) nanos, (old, now) -> old + SAMPLE_WEIGHT * (now - old));
  }

  /** Returns how long a message to {@code zone} and back takes. */
  public long roundTripNanos(ZoneId zone) {
    Double learned = learnedNanos.get(zone);
    return learned == null
        ? NetworkDelays.DEFAULT.roundTripNanos(proximityOf(zone))
        : learned.longValue();
  }

  /** Returns how near {@code zone} is. */
  public Proximity proximityOf(ZoneId zone) {
    if (zone.equals(ownZone)) {
      return Proximity.OWN_ZONE;
    }
    return ownRegion.equals(regions.get(zone)) ? Proximity.OWN_REGION : Proximity.OTHER_REGION;
  }

  /** Returns the region of {@code zone}, or the own one for a zone that is not known. */
  public RegionId regionOf(ZoneId zone) {
    return regions.getOrDefault(zone, ownRegion);
  }
}
