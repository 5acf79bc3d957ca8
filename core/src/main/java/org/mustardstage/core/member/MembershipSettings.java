package org.mustardstage.core.member;

import com.google.common.base.Preconditions;
import java.time.Duration;

/**
 * The intervals and timeouts of the membership protocol.
 *
 * @param minHeartbeatIntervalNanos the shortest interval between heartbeats to a VM of the same
 *     zone
 * @param heartbeatIntervalPerVmNanos the interval between heartbeats within a zone, per VM of the
 *     zone; it keeps the heartbeat rate of a VM constant in large zones
 * @param otherZoneHeartbeatIntervalNanos the interval between heartbeats to another zone of the
 *     region
 * @param otherRegionHeartbeatIntervalNanos the interval between heartbeats to another region
 * @param suspectAfterIntervals the number of heartbeat intervals without a heartbeat after which a
 *     VM is suspected
 * @param deadAfterIntervals the number of heartbeat intervals without a heartbeat after which a VM
 *     is believed dead
 * @param digestIntervalNanos the shortest interval between two digests of a zone
 * @param goneAfterNanos how long a VM that was removed from the platform's list must have been
 *     silent before it counts as proven gone; must be longer than the longest lease
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
  /** A VM that has run for this long knows the members of every region that still has VMs. */
  public static final long DISCOVERY_NANOS = Duration.ofSeconds(6).toNanos();

  /** Checks that a VM is suspected before it is believed dead. */
  public MembershipSettings {
    Preconditions.checkArgument(
        minHeartbeatIntervalNanos > 0,
        "minHeartbeatIntervalNanos must be positive, found %s",
        minHeartbeatIntervalNanos);
    Preconditions.checkArgument(
        suspectAfterIntervals < deadAfterIntervals,
        "suspectAfterIntervals must be smaller than deadAfterIntervals");
  }

  /** Returns the settings for deployments of any size. */
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
   * Returns settings for VMs with less than half a core. They send half as many heartbeats, so a VM
   * is suspected after one and a half seconds.
   */
  public static MembershipSettings forSmallVms() {
    MembershipSettings defaults = defaults();
    return new MembershipSettings(
        2 * defaults.minHeartbeatIntervalNanos,
        2 * defaults.heartbeatIntervalPerVmNanos,
        defaults.otherZoneHeartbeatIntervalNanos,
        defaults.otherRegionHeartbeatIntervalNanos,
        defaults.suspectAfterIntervals,
        defaults.deadAfterIntervals,
        defaults.digestIntervalNanos,
        defaults.goneAfterNanos);
  }

  /** Returns the heartbeat interval within a zone of {@code zoneSize} VMs. */
  public long heartbeatIntervalNanos(int zoneSize) {
    return Math.max(minHeartbeatIntervalNanos, zoneSize * heartbeatIntervalPerVmNanos);
  }
}
