package org.mustardstage.entry.peer;

import java.util.List;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.member.DigestCounter;
import org.mustardstage.core.member.Member;
import org.mustardstage.core.member.MemberMessage;
import org.mustardstage.core.member.ZoneDigest;
import org.mustardstage.schema.generated.WireDigestCounter;
import org.mustardstage.schema.generated.WireDigestEntry;
import org.mustardstage.schema.generated.WireDigestSummary;
import org.mustardstage.schema.generated.WireDigests;
import org.mustardstage.schema.generated.WireHeartbeat;
import org.mustardstage.schema.generated.WireMember;
import org.mustardstage.schema.generated.WireZoneDigest;

/** Maps messages of the membership protocol to their wire classes and back. */
final class MemberWire {
  private MemberWire() {}

  static Object toWire(MemberMessage message) {
    return switch (message) {
      case MemberMessage.Heartbeat heartbeat -> toWire(heartbeat);
      case MemberMessage.DigestSummary summary ->
          new WireDigestSummary()
              .withCounters(summary.counters().stream().map(MemberWire::toWire).toList());
      case MemberMessage.Digests digests ->
          new WireDigests()
              .withDigests(digests.digests().stream().map(MemberWire::toWire).toList());
    };
  }

  private static WireHeartbeat toWire(MemberMessage.Heartbeat heartbeat) {
    return new WireHeartbeat()
        .withLeaving(heartbeat.leaving())
        .withVersion(heartbeat.version().number())
        .withWorldHash(heartbeat.worldHash())
        .withSilentZones(heartbeat.silentZones().stream().map(ZoneId::value).toList());
  }

  private static WireDigestCounter toWire(DigestCounter counter) {
    return new WireDigestCounter()
        .withZone(counter.zone().value())
        .withCounter(counter.counter())
        .withContentHash(counter.contentHash());
  }

  private static WireZoneDigest toWire(ZoneDigest digest) {
    return new WireZoneDigest()
        .withZone(digest.zone().value())
        .withCounter(digest.counter())
        .withEntries(digest.entries().stream().map(MemberWire::toWire).toList());
  }

  private static WireDigestEntry toWire(ZoneDigest.Entry entry) {
    return new WireDigestEntry()
        .withMember(toWire(entry.member()))
        .withVersion(entry.version().number());
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
        .withLeaving(member.leaving());
  }

  static MemberMessage fromWire(WireHeartbeat wire) {
    return new MemberMessage.Heartbeat(
        wire.getLeaving(),
        new ConfigVersion(wire.getVersion()),
        wire.getWorldHash(),
        wire.getSilentZones().stream().map(ZoneId::new).toList());
  }

  static MemberMessage fromWire(WireDigestSummary wire) {
    List<DigestCounter> counters = wire.getCounters().stream().map(MemberWire::fromWire).toList();
    return new MemberMessage.DigestSummary(counters);
  }

  private static DigestCounter fromWire(WireDigestCounter wire) {
    return new DigestCounter(new ZoneId(wire.getZone()), wire.getCounter(), wire.getContentHash());
  }

  static MemberMessage fromWire(WireDigests wire) {
    return new MemberMessage.Digests(wire.getDigests().stream().map(MemberWire::fromWire).toList());
  }

  private static ZoneDigest fromWire(WireZoneDigest wire) {
    List<ZoneDigest.Entry> entries = wire.getEntries().stream().map(MemberWire::fromWire).toList();
    return new ZoneDigest(new ZoneId(wire.getZone()), wire.getCounter(), entries);
  }

  private static ZoneDigest.Entry fromWire(WireDigestEntry wire) {
    return new ZoneDigest.Entry(fromWire(wire.getMember()), new ConfigVersion(wire.getVersion()));
  }

  static Member fromWire(WireMember wire) {
    return new Member(
        new VmIncarnation(new VmId(wire.getVm()), wire.getIncarnation()),
        new ZoneId(wire.getZone()),
        new RegionId(wire.getRegion()),
        new HostAndPort(wire.getHost(), Math.toIntExact(wire.getTrafficPort())),
        new HostAndPort(wire.getHost(), Math.toIntExact(wire.getPeerPort())),
        new HostAndPort(wire.getHost(), Math.toIntExact(wire.getAdminPort())),
        wire.getLeaving());
  }
}
