package org.mustardstage.core.member;

import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;

/**
 * One incarnation of an entry VM, as other VMs know it.
 *
 * @param incarnation the VM and the number of this incarnation
 * @param zone its zone
 * @param region its region
 * @param trafficAddress the address for callers
 * @param peerAddress the address for other entry VMs
 * @param adminAddress the address for operators
 * @param leaving whether it has announced that it is leaving
 * @param milliCores its processor capacity, in thousandths of a core
 * @param cutOff whether it has announced that it reaches no endpoint
 * @param release the release of the protocol between VMs that it speaks, as far as is known
 */
public record Member(
    VmIncarnation incarnation,
    ZoneId zone,
    RegionId region,
    HostAndPort trafficAddress,
    HostAndPort peerAddress,
    HostAndPort adminAddress,
    boolean leaving,
    int milliCores,
    boolean cutOff,
    int release) {
  /** The capacity assumed for a VM that does not report one. */
  public static final int DEFAULT_MILLI_CORES = 1_000;

  /** Creates a member of this release with {@link #DEFAULT_MILLI_CORES} that reaches endpoints. */
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
        DEFAULT_MILLI_CORES,
        /* cutOff= */ false,
        PeerRelease.CURRENT);
  }

  /** Returns the VM without its incarnation number. */
  public VmId vm() {
    return incarnation.vm();
  }

  /** Returns a copy of this member with another incarnation number. */
  public Member withNumber(long number) {
    return new Member(
        new VmIncarnation(vm(), number),
        zone,
        region,
        trafficAddress,
        peerAddress,
        adminAddress,
        leaving,
        milliCores,
        cutOff,
        release);
  }

  /** Returns a copy of this member that is marked as leaving. */
  public Member asLeaving() {
    return new Member(
        incarnation,
        zone,
        region,
        trafficAddress,
        peerAddress,
        adminAddress,
        /* leaving= */ true,
        milliCores,
        cutOff,
        release);
  }

  /** Returns a copy of this member that reaches no endpoint, or reaches endpoints again. */
  public Member withCutOff(boolean newCutOff) {
    return new Member(
        incarnation,
        zone,
        region,
        trafficAddress,
        peerAddress,
        adminAddress,
        leaving,
        milliCores,
        newCutOff,
        release);
  }

  /** Returns a copy of this member that speaks another release of the protocol. */
  public Member withRelease(int newRelease) {
    return new Member(
        incarnation,
        zone,
        region,
        trafficAddress,
        peerAddress,
        adminAddress,
        leaving,
        milliCores,
        cutOff,
        newRelease);
  }
}
