package org.mustardstage.core.placement;

/**
 * Settings of a scheduler that operators may change.
 *
 * @param otherZonePenaltyNanos how much sooner a response must be expected from another zone of the
 *     region than from the own zone for that zone to be chosen, as traffic between zones is billed
 * @param otherRegionPenaltyNanos the same for a zone of another region
 * @param schedulerCount the number of schedulers that share the endpoints
 */
public record PlacementSettings(
    long otherZonePenaltyNanos, long otherRegionPenaltyNanos, int schedulerCount) {
  /** Returns the default settings where {@code schedulerCount} schedulers share the endpoints. */
  public static PlacementSettings forSchedulerCount(int schedulerCount) {
    return new PlacementSettings(3_000_000, 30_000_000, schedulerCount);
  }
}
