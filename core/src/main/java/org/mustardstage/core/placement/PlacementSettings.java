package org.mustardstage.core.placement;

/**
 * What operators may set of placement.
 *
 * @param otherZoneNanos how much later an answer from the own zone may come and still be preferred
 *     to one from another zone of the region, as traffic between zones is paid for
 * @param otherRegionNanos the same for another region
 * @param sharers how many schedulers use the same endpoints
 */
public record PlacementSettings(
    long otherZonePenaltyNanos, long otherRegionPenaltyNanos, int schedulerCount) {
  /** Returns the settings of a scheduler that shares its endpoints with {@code sharers - 1}. */
  public static PlacementSettings forSchedulerCount(int sharers) {
    return new PlacementSettings(3_000_000, 30_000_000, sharers);
  }
}
