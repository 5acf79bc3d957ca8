package org.mustardstage.core.member;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.VmIncarnation;

/** The other VMs of the own zone, by their heartbeats and the platform's list. */
final class ZonePeers {
  private final MembershipSettings settings;
  private final Member self;
  private final Map<VmId, PeerRecord> peers = new TreeMap<>();
  private final Map<VmId, List<Member>> replaced = new HashMap<>();

  ZonePeers(MembershipSettings settings, Member self) {
    this.settings = settings;
    this.self = self;
  }

  /** Notes that {@code member} is known to exist. Returns whether something was new. */
  boolean discover(long nowNanos, Member member) {
    if (!member.zone().equals(self.zone()) || member.vm().equals(self.vm())) {
      return false;
    }
    PeerRecord known = peers.get(member.vm());
    if (known == null) {
      peers.put(member.vm(), new PeerRecord(member, nowNanos));
      return true;
    }
    long knownNumber = known.member().incarnation().number();
    if (member.incarnation().number() <= knownNumber) {
      return false;
    }
    replaced.computeIfAbsent(member.vm(), key -> new ArrayList<>()).add(known.member());
    peers.put(member.vm(), new PeerRecord(member, nowNanos));
    return true;
  }

  Optional<PeerRecord> find(VmIncarnation incarnation) {
    return Optional.ofNullable(peers.get(incarnation.vm()))
        .filter(peer -> peer.member().incarnation().equals(incarnation));
  }

  void onVmList(long nowNanos, List<Member> listed) {
    Map<VmId, Member> byVm = new HashMap<>();
    listed.forEach(member -> byVm.put(member.vm(), member));
    listed.forEach(member -> discover(nowNanos, member));
    peers.forEach((vm, peer) -> markListed(peer, Optional.ofNullable(byVm.get(vm))));
  }

  private static void markListed(PeerRecord peer, Optional<Member> entry) {
    if (entry.isEmpty()) {
      peer.markUnlisted();
      return;
    }
    if (entry.get().incarnation().equals(peer.member().incarnation())) {
      peer.markListed(entry.get());
    }
  }

  /** Forgets VMs that are proven gone for so long that nobody holds anything of theirs. */
  void forgetGone(long nowNanos) {
    long forgetAfterNanos = 8 * settings.goneAfterNanos();
    peers.values().removeIf(peer -> peer.provenGone(nowNanos, forgetAfterNanos));
  }

  int zoneSize() {
    return peers.size() + 1;
  }

  long periodNanos() {
    return settings.heartbeatNanos(zoneSize());
  }

  ImmutableList<PeerRecord> all() {
    return ImmutableList.copyOf(peers.values());
  }

  /** Returns the status of each peer, and of runs that were replaced by a later run. */
  List<MemberStatus> statuses(long nowNanos) {
    List<MemberStatus> statuses = new ArrayList<>();
    for (PeerRecord peer : peers.values()) {
      statuses.add(
          new MemberStatus(
              peer.member(),
              peer.liveness(nowNanos, periodNanos(), settings),
              peer.provenGone(nowNanos, settings.goneAfterNanos()),
              peer.version()));
    }
    for (List<Member> earlierRuns : replaced.values()) {
      for (Member earlier : earlierRuns) {
        statuses.add(
            new MemberStatus(
                earlier, MemberStatus.Liveness.DEAD, /* provenGone= */ true, ConfigVersion.NONE));
      }
    }
    return statuses;
  }

  /** Returns whether some silent VM may be gone, which only the platform's list can tell. */
  boolean needsVmList(long nowNanos) {
    return peers.values().stream()
        .anyMatch(
            peer -> peer.liveness(nowNanos, periodNanos(), settings) == MemberStatus.Liveness.DEAD);
  }
}
