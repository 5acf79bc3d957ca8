package org.mustardstage.entry.peer;

import java.util.List;
import java.util.Optional;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.member.DigestUpdate;
import org.mustardstage.core.member.DigestVersion;
import org.mustardstage.core.member.Member;
import org.mustardstage.core.member.MemberMessage;
import org.mustardstage.core.member.PeerRelease;
import org.mustardstage.schema.generated.WireDigestCounter;
import org.mustardstage.schema.generated.WireDigestSummary;
import org.mustardstage.schema.generated.WireDigests;
import org.mustardstage.schema.generated.WireHeartbeat;
import org.mustardstage.schema.generated.WireMember;
import org.mustardstage.schema.generated.WireSuperseded;
import org.mustardstage.schema.generated.WireZoneDigest;

/** Converts messages of the membership protocol to their generated wire classes and back. */
final class MemberMessageMapper {
  private MemberMessageMapper() {}

  static Object toWire(MemberMessage message) {
    return switch (message) {
      case MemberMessage.Heartbeat heartbeat -> toWire(heartbeat);
      case MemberMessage.DigestSummary summary ->
          new WireDigestSummary()
              .withCounters(summary.versions().stream().map(MemberMessageMapper::toWire).toList());
      case MemberMessage.Superseded superseded ->
          new WireSuperseded().withKnownNumber(superseded.knownNumber());
      case MemberMessage.Digests digests ->
          new WireDigests()
              .withDigests(digests.digests().stream().map(MemberMessageMapper::toWire).toList());
    };
  }

  private static WireHeartbeat toWire(MemberMessage.Heartbeat heartbeat) {
    return new WireHeartbeat()
        .withLeaving(heartbeat.leaving())
        .withCutOff(heartbeat.cutOff())
        .withVersion(heartbeat.configVersion().number())
        .withWorldHash(heartbeat.digestTableHash())
        .withSilentZones(heartbeat.silentZones().stream().map(ZoneId::value).toList());
  }

  private static WireDigestCounter toWire(DigestVersion digest) {
    return new WireDigestCounter()
        .withZone(digest.zone().value())
        .withCounter(digest.sequenceNumber())
        .withContentHash(digest.contentHash())
        .withMembersHash(digest.membersHash());
  }

  private static WireZoneDigest toWire(DigestUpdate update) {
    return new WireZoneDigest()
        .withZone(update.zone().value())
        .withCounter(update.sequenceNumber())
        .withVersion(update.configVersion().number())
        .withBehind(update.outdatedVms().stream().map(VmId::value).toList())
        .withMembersHash(update.membersHash())
        .withSameMembers(update.members().isEmpty())
        .withMembers(
            update.members().stream()
                .flatMap(List::stream)
                .map(MemberMessageMapper::toWire)
                .toList());
  }

  static WireMember toWire(Member member) {
    return new WireMember()
        .withVm(member.vm().value())
        .withIncarnation(member.incarnation().number())
        .withZone(member.zone().value())
        .withRegion(member.region().value())
        .withHost(member.trafficAddress().host())
        .withTrafficPort((long) member.trafficAddress().port())
        .withPeerPort((long) member.peerAddress().port())
        .withAdminPort((long) member.adminAddress().port())
        .withLeaving(member.leaving())
        .withMilliCores((long) member.milliCores())
        .withCutOff(member.cutOff())
        .withRelease((long) member.release());
  }

  /**
   * Returns the payload of a hello in the layout of release 1. It is needed for each link, so it is
   * written here instead of by a mapper for that release.
   */
  static List<Object> toFirstHello(Member member) {
    List<Object> fields =
        List.of(
            member.vm().value(),
            member.incarnation().number(),
            member.zone().value(),
            member.region().value(),
            member.trafficAddress().host(),
            member.trafficAddress().port(),
            member.peerAddress().port(),
            member.adminAddress().port(),
            member.leaving(),
            member.milliCores());
    return List.of(fields);
  }

  static MemberMessage fromWire(WireHeartbeat wire) {
    return new MemberMessage.Heartbeat(
        wire.getLeaving(),
        Boolean.TRUE.equals(wire.getCutOff()),
        new ConfigVersion(wire.getVersion()),
        wire.getWorldHash(),
        wire.getSilentZones().stream().map(ZoneId::new).toList());
  }

  static MemberMessage fromWire(WireDigestSummary wire) {
    List<DigestVersion> versions =
        wire.getCounters().stream().map(MemberMessageMapper::fromWire).toList();
    return new MemberMessage.DigestSummary(versions);
  }

  private static DigestVersion fromWire(WireDigestCounter wire) {
    return new DigestVersion(
        new ZoneId(wire.getZone()),
        wire.getCounter(),
        wire.getContentHash(),
        wire.getMembersHash());
  }

  static MemberMessage fromWire(WireDigests wire) {
    return new MemberMessage.Digests(
        wire.getDigests().stream().map(MemberMessageMapper::fromWire).toList());
  }

  private static DigestUpdate fromWire(WireZoneDigest wire) {
    List<Member> members = wire.getMembers().stream().map(MemberMessageMapper::fromWire).toList();
    return new DigestUpdate(
        new ZoneId(wire.getZone()),
        wire.getCounter(),
        new ConfigVersion(wire.getVersion()),
        wire.getBehind().stream().map(VmId::new).toList(),
        wire.getMembersHash(),
        wire.getSameMembers() ? Optional.empty() : Optional.of(members));
  }

  static Member fromWire(WireMember wire) {
    return new Member(
        new VmIncarnation(new VmId(wire.getVm()), wire.getIncarnation()),
        new ZoneId(wire.getZone()),
        new RegionId(wire.getRegion()),
        new HostAndPort(wire.getHost(), Math.toIntExact(wire.getTrafficPort())),
        new HostAndPort(wire.getHost(), Math.toIntExact(wire.getPeerPort())),
        new HostAndPort(wire.getHost(), Math.toIntExact(wire.getAdminPort())),
        wire.getLeaving(),
        Math.toIntExact(wire.getMilliCores()),
        Boolean.TRUE.equals(wire.getCutOff()),
        releaseOf(wire));
  }

  /**
   * Returns the release that a VM speaks, which only later ones say, by the fields that it sent.
   */
  private static int releaseOf(WireMember wire) {
    if (wire.getRelease() != null) {
      return Math.toIntExact(wire.getRelease());
    }
    return wire.getCutOff() == null ? PeerRelease.FIRST : PeerRelease.RELAYED_REQUESTS;
  }
}
