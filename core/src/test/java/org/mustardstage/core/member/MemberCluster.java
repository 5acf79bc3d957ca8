package org.mustardstage.core.member;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.BiPredicate;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;

/**
 * Simulates the VMs of several zones in virtual time, connected by a network whose links can be
 * cut.
 */
final class MemberCluster {
  private static final long TICK_NANOS = Duration.ofMillis(20).toNanos();
  private static final long DELAY_NANOS = Duration.ofMillis(2).toNanos();

  private final Map<VmId, Member> members = new HashMap<>();
  private final Map<VmId, Membership> states = new HashMap<>();
  private final Set<VmId> crashed = new HashSet<>();
  private final PriorityQueue<Delivery> network =
      new PriorityQueue<>(Comparator.comparingLong(Delivery::atNanos));
  private BiPredicate<Member, Member> isCut = (from, to) -> false;
  private long nowNanos;
  private long sentMessages;

  private record Delivery(long atNanos, Member from, Member to, MemberMessage message) {}

  /** Creates {@code vmsPerZone} VMs in each of {@code zonesPerRegion} zones of each region. */
  static MemberCluster of(int regions, int zonesPerRegion, int vmsPerZone) {
    MemberCluster cluster = new MemberCluster();
    int port = 10_000;
    for (int r = 0; r < regions; r++) {
      for (int z = 0; z < zonesPerRegion; z++) {
        for (int v = 0; v < vmsPerZone; v++) {
          cluster.add(
              member("r" + r, "r" + r + "-z" + z, "r" + r + "-z" + z + "-v" + v, 1, port++));
        }
      }
    }
    cluster.publishList();
    return cluster;
  }

  static Member member(String region, String zone, String vm, long incarnation, int port) {
    HostAndPort address = new HostAndPort("127.0.0.1", port);
    return new Member(
        new VmIncarnation(new VmId(vm), incarnation),
        new ZoneId(zone),
        new RegionId(region),
        address,
        address,
        address,
        /* leaving= */ false);
  }

  void add(Member member) {
    members.put(member.vm(), member);
    crashed.remove(member.vm());
    states.put(member.vm(), new Membership(MembershipSettings.defaults(), member, nowNanos));
  }

  /** Delivers the list of all VMs that have not crashed to every VM that runs. */
  void publishList() {
    List<Member> list =
        members.values().stream().filter(member -> !crashed.contains(member.vm())).toList();
    members.keySet().stream()
        .filter(vm -> !crashed.contains(vm))
        .forEach(vm -> execute(members.get(vm), states.get(vm).applyVmList(nowNanos, list)));
  }

  void crash(String vm) {
    crashed.add(new VmId(vm));
  }

  void setCutLinks(BiPredicate<Member, Member> cutPredicate) {
    isCut = cutPredicate;
  }

  Member member(String vm) {
    return members.get(new VmId(vm));
  }

  Membership state(String vm) {
    return states.get(new VmId(vm));
  }

  MemberView view(String vm) {
    return state(vm).view(nowNanos);
  }

  MemberStatus status(String viewer, String vm) {
    return view(viewer).statuses().stream()
        .filter(status -> status.member().vm().equals(new VmId(vm)))
        .max(Comparator.comparingLong(status -> status.member().incarnation().number()))
        .orElseThrow();
  }

  List<Membership> runningStates() {
    return states.entrySet().stream()
        .filter(entry -> !crashed.contains(entry.getKey()))
        .map(Map.Entry::getValue)
        .toList();
  }

  long nowNanos() {
    return nowNanos;
  }

  long sentMessages() {
    return sentMessages;
  }

  void execute(String vm, List<MemberAction> actions) {
    execute(member(vm), actions);
  }

  private void execute(Member from, List<MemberAction> actions) {
    for (MemberAction action : actions) {
      if (action instanceof MemberAction.SendMessage send && !isCut.test(from, send.to())) {
        sentMessages++;
        network.add(new Delivery(nowNanos + DELAY_NANOS, from, send.to(), send.message()));
      }
      if (action instanceof MemberAction.Superseded superseded) {
        renumber(from, superseded.knownNumber() + 1);
      }
    }
  }

  private void renumber(Member member, long number) {
    Member current = members.get(member.vm());
    if (current.incarnation().number() < number) {
      members.put(member.vm(), current.withNumber(number));
      states.get(member.vm()).renumber(number);
    }
  }

  /** Opens links between all VMs that run, on which they introduce themselves. */
  void introduceAll() {
    for (Member from : List.copyOf(members.values())) {
      for (Member to : List.copyOf(members.values())) {
        if (!from.vm().equals(to.vm())
            && !crashed.contains(from.vm())
            && !crashed.contains(to.vm())) {
          execute(
              members.get(to.vm()), states.get(to.vm()).addPeer(nowNanos, members.get(from.vm())));
        }
      }
    }
  }

  /**
   * Advances the virtual time, calling {@code tick} on the VMs and delivering messages that are
   * due.
   */
  void advance(Duration duration) {
    long endNanos = nowNanos + duration.toNanos();
    while (nowNanos < endNanos) {
      nowNanos += TICK_NANOS;
      deliverDue();
      new ArrayList<>(members.values())
          .forEach(
              member -> {
                if (!crashed.contains(member.vm())) {
                  execute(member, states.get(member.vm()).tick(nowNanos));
                }
              });
    }
  }

  private void deliverDue() {
    while (!network.isEmpty() && network.peek().atNanos() <= nowNanos) {
      Delivery delivery = network.poll();
      Member current = members.get(delivery.to().vm());
      boolean isReceiverRunning =
          !crashed.contains(current.vm())
              && current.incarnation().equals(delivery.to().incarnation());
      if (isReceiverRunning) {
        execute(
            current,
            states.get(current.vm()).applyMessage(nowNanos, delivery.from(), delivery.message()));
      }
    }
  }
}
