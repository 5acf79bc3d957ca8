package org.mustardstage.core.member;

import com.google.common.base.Preconditions;
import java.time.Duration;

/**
 * Times of the membership protocol.
 *
 * @param minHeartbeatNanos the shortest time between two heartbeats to a VM of the same zone
 * @param heartbeatPerPeerNanos the time by which the heartbeat period grows with each VM of the
 *     zone
 * @param zoneHeartbeatNanos the time between two heartbeats to another zone of the region
 * @param regionHeartbeatNanos the time between two heartbeats to another region
 * @param suspectAfterPeriods after how many periods without a heartbeat a VM is suspected
 * @param deadAfterPeriods after how many periods without a heartbeat a VM is believed dead
 * @param digestIntervalNanos the shortest time between two digests of a zone
 * @param goneAfterNanos how long a VM that left the platform's list must have been silent before it
 *     is proven gone; longer than the longest lease
 */
public record MembershipSettings(
    long minHeartbeatIntervalNanos,
    long heartbeatIntervalPerVmNanos,
    long otherZoneHeartbeatIntervalNanos,
    long otherRegionHeartbeatIntervalNanos,
    int suspectAfterIntervals,
    int deadAfterIntervals,
    long digestIntervalNanos,
    long goneAfterNanos) {
  /** Checks that a VM is suspected before it is believed dead. */
  public MembershipSettings {
    Preconditions.checkArgument(minHeartbeatIntervalNanos > 0, "heartbeat period must be positive");
    Preconditions.checkArgument(
        suspectAfterIntervals < deadAfterIntervals, "suspicion must come before death");
  }

  /** Returns the settings of a deployment of any size. */
  public static MembershipSettings defaults() {
    return new MembershipSettings(
        Duration.ofMillis(250).toNanos(),
        Duration.ofMillis(35).toNanos(),
        Duration.ofSeconds(1).toNanos(),
        Duration.ofSeconds(2).toNanos(),
        3,
        6,
        Duration.ofSeconds(1).toNanos(),
        Duration.ofSeconds(15).toNanos());
  }

  /**
   * Returns settings for VMs with less than half a core: half the heartbeats, so a VM is suspected
   * after one and a half seconds.
   */
  public static MembershipSettings forSmallVms() {
    MembershipSettings usual = defaults();
    return new MembershipSettings(
        2 * usual.minHeartbeatIntervalNanos,
        2 * usual.heartbeatIntervalPerVmNanos,
        usual.otherZoneHeartbeatIntervalNanos,
        usual.otherRegionHeartbeatIntervalNanos,
        usual.suspectAfterIntervals,
        usual.deadAfterIntervals,
        usual.digestIntervalNanos,
        usual.goneAfterNanos);
  }

  /** Returns the heartbeat period within a zone of {@code zoneSize} VMs. */
  public long heartbeatIntervalNanos(int zoneSize) {
    return Math.max(minHeartbeatIntervalNanos, zoneSize * heartbeatIntervalPerVmNanos);
  }
}
