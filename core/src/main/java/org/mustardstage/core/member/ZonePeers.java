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

/** Tracks the other VMs of the own zone by their heartbeats and the platform's list. */
final class ZonePeers {
  private final MembershipSettings settings;
  private final Member self;
  private final Map<VmId, PeerState> peers = new TreeMap<>();
  private final Map<VmId, List<EarlierIncarnation>> earlierIncarnations = new HashMap<>();

  /** An incarnation that a later one has replaced. */
  private record EarlierIncarnation(Member member, long replacedNanos) {}

  ZonePeers(MembershipSettings settings, Member self) {
    this.settings = settings;
    this.self = self;
  }

  /**
   * Adds {@code member} if it is an unknown VM of the own zone or a later incarnation of a known
   * one. Returns whether it was added.
   */
  boolean addIfNewer(long nowNanos, Member member) {
    if (!member.zone().equals(self.zone()) || member.vm().equals(self.vm())) {
      return false;
    }
    PeerState current = peers.get(member.vm());
    if (current == null) {
      peers.put(member.vm(), new PeerState(member, nowNanos));
      return true;
    }
    long currentNumber = current.member().incarnation().number();
    if (member.incarnation().number() == currentNumber) {
      current.recordRelease(member.release());
    }
    if (member.incarnation().number() <= currentNumber) {
      return false;
    }
    earlierIncarnations
        .computeIfAbsent(member.vm(), key -> new ArrayList<>())
        .add(new EarlierIncarnation(current.member(), nowNanos));
    peers.put(member.vm(), new PeerState(member, nowNanos));
    return true;
  }

  /** Returns the latest known incarnation of a VM. */
  Optional<Member> find(VmId vm) {
    return Optional.ofNullable(peers.get(vm)).map(PeerState::member);
  }

  Optional<PeerState> find(VmIncarnation incarnation) {
    return Optional.ofNullable(peers.get(incarnation.vm()))
        .filter(peer -> peer.member().incarnation().equals(incarnation));
  }

  void applyVmList(long nowNanos, List<Member> listed) {
    Map<VmId, Member> byVm = new HashMap<>();
    listed.forEach(member -> byVm.put(member.vm(), member));
    listed.forEach(member -> addIfNewer(nowNanos, member));
    peers.forEach((vm, peer) -> updateListState(peer, Optional.ofNullable(byVm.get(vm))));
  }

  private static void updateListState(PeerState peer, Optional<Member> entry) {
    if (entry.isEmpty()) {
      peer.markMissingFromList();
      return;
    }
    if (entry.get().incarnation().equals(peer.member().incarnation())) {
      peer.markInList(entry.get());
    }
  }

  /**
   * Removes VMs that have been proven gone for so long that no other VM still holds state of
   * theirs.
   */
  void removeGone(long nowNanos) {
    long removeAfterNanos = 8 * settings.goneAfterNanos();
    peers.values().removeIf(peer -> peer.isProvenGone(nowNanos, removeAfterNanos));
    for (List<EarlierIncarnation> replaced : earlierIncarnations.values()) {
      replaced.removeIf(earlier -> nowNanos - earlier.replacedNanos() > removeAfterNanos);
    }
    earlierIncarnations.values().removeIf(List::isEmpty);
  }

  int zoneSize() {
    return peers.size() + 1;
  }

  long heartbeatIntervalNanos() {
    return settings.heartbeatIntervalNanos(zoneSize());
  }

  ImmutableList<PeerState> all() {
    return ImmutableList.copyOf(peers.values());
  }

  /**
   * Returns the status of each peer and of the earlier incarnations that a later one has replaced.
   */
  List<MemberStatus> statuses(long nowNanos) {
    List<MemberStatus> statuses = new ArrayList<>();
    for (PeerState peer : peers.values()) {
      statuses.add(
          new MemberStatus(
              peer.member(),
              peer.liveness(nowNanos, heartbeatIntervalNanos(), settings),
              peer.isProvenGone(nowNanos, settings.goneAfterNanos()),
              peer.configVersion()));
    }
    for (List<EarlierIncarnation> incarnations : earlierIncarnations.values()) {
      for (EarlierIncarnation earlier : incarnations) {
        statuses.add(
            new MemberStatus(
                earlier.member(),
                MemberStatus.Liveness.DEAD,
                /* provenGone= */ true,
                ConfigVersion.NONE));
      }
    }
    return statuses;
  }

  /**
   * Returns whether a VM is believed dead. Only the platform's list tells whether it is really
   * gone.
   */
  boolean needsVmList(long nowNanos) {
    return peers.values().stream()
        .anyMatch(
            peer ->
                peer.liveness(nowNanos, heartbeatIntervalNanos(), settings)
                    == MemberStatus.Liveness.DEAD);
  }
}
