package org.mustardstage.core.member;

import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;

/**
 * One run of an entry VM as others see it.
 *
 * @param incarnation the run
 * @param zone its zone
 * @param region its region
 * @param trafficAddress where callers reach it
 * @param peerAddress where other entry VMs reach it
 * @param adminAddress where operators reach it
 * @param leaving whether it said that it is leaving
 * @param milliCores its processor, in thousandths of a core
 */
public record Member(
    VmIncarnation incarnation,
    ZoneId zone,
    RegionId region,
    HostAndPort trafficAddress,
    HostAndPort peerAddress,
    HostAndPort adminAddress,
    boolean leaving,
    int milliCores) {
  /** What a VM that doesn't say is taken to have. */
  public static final int DEFAULT_MILLI_CORES = 1_000;

  /** Creates a member that doesn't say what its processor is. */
  public Member(
      VmIncarnation incarnation,
      ZoneId zone,
      RegionId region,
      HostAndPort trafficAddress,
      HostAndPort peerAddress,
      HostAndPort adminAddress,
      boolean leaving) {
    this(
        incarnation,
        zone,
        region,
        trafficAddress,
        peerAddress,
        adminAddress,
        leaving,
        DEFAULT_MILLI_CORES);
  }

  /** Returns the name of the VM. */
  public VmId vm() {
    return incarnation.vm();
  }

  /** Returns this member as leaving. */
  public Member asLeaving() {
    return new Member(
        incarnation,
        zone,
        region,
        trafficAddress,
        peerAddress,
        adminAddress,
        /* leaving= */ true,
        milliCores);
  }
}
