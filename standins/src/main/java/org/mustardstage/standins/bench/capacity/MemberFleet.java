package org.mustardstage.standins.bench.capacity;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.member.Member;
import org.mustardstage.core.member.MemberAction;
import org.mustardstage.core.member.MemberMessage;
import org.mustardstage.core.member.Membership;
import org.mustardstage.core.member.MembershipSettings;
import org.mustardstage.entry.peer.PeerCodec;
import org.mustardstage.entry.peer.PeerMessage;

/**
 * Many VMs' membership state in one process and in virtual time. Every message goes through the
 * codec of the peer protocol, so that bytes and processor time are those of the real path without
 * the sockets.
 */
final class MemberFleet {
  private static final long TICK_NANOS = Duration.ofMillis(20).toNanos();
  private static final int FRAME_HEADER_BYTES = 4;
  private static final int TCP_IP_HEADER_BYTES = 52;

  private final List<Node> nodes = new ArrayList<>();
  private final Map<VmId, Node> byVm = new HashMap<>();
  private final Deque<Delivery> network = new ArrayDeque<>();
  private long nowNanos;

  /** One VM and what it has cost. */
  static final class Node {
    private final Member member;
    private final Membership state;
    private long sentMessages;
    private long sentBytes;
    private long receivedBytes;
    private long cpuNanos;

    Node(Member member, Membership state) {
      this.member = member;
      this.state = state;
    }

    Member member() {
      return member;
    }

    Membership state() {
      return state;
    }

    long sentMessages() {
      return sentMessages;
    }

    long sentBytes() {
      return sentBytes;
    }

    long receivedBytes() {
      return receivedBytes;
    }

    long cpuNanos() {
      return cpuNanos;
    }
  }

  /** A message on its way. */
  private static final class Delivery {
    private final long atNanos;
    private final Member from;
    private final VmId to;
    private final byte[] content;

    Delivery(long atNanos, Member from, VmId to, byte[] content) {
      this.atNanos = atNanos;
      this.from = from;
      this.to = to;
      this.content = content;
    }
  }

  private MemberFleet() {}

  static MemberFleet of(int zones, int regions, int vmsPerZone) {
    MemberFleet fleet = new MemberFleet();
    for (int zone = 0; zone < zones; zone++) {
      for (int vm = 0; vm < vmsPerZone; vm++) {
        fleet.add(zone % regions, zone, vm);
      }
    }
    List<Member> list = fleet.nodes.stream().map(Node::member).toList();
    fleet.nodes.forEach(node -> fleet.run(node, node.state.applyVmList(0, list)));
    return fleet;
  }

  private void add(int region, int zone, int vm) {
    HostAndPort address = new HostAndPort("10.120.140.160", 10_000);
    Member member =
        new Member(
            new VmIncarnation(new VmId("entry-z" + zone + "-" + vm), 1_764_800_000_000L),
            new ZoneId("region-" + region + "-z" + zone),
            new RegionId("region-" + region),
            address,
            address,
            address,
            /* leaving= */ false);
    Membership state = new Membership(MembershipSettings.defaults(), member, nowNanos);
    Node node = new Node(member, state);
    nodes.add(node);
    byVm.put(member.vm(), node);
  }

  List<Node> nodes() {
    return nodes;
  }

  long nowNanos() {
    return nowNanos;
  }

  void setVersion(ConfigVersion version) {
    nodes.forEach(node -> node.state.setConfigVersion(version));
  }

  void resetCounts() {
    for (Node node : nodes) {
      node.sentMessages = 0;
      node.sentBytes = 0;
      node.receivedBytes = 0;
      node.cpuNanos = 0;
    }
  }

  void advance(Duration duration) {
    long endNanos = nowNanos + duration.toNanos();
    while (nowNanos < endNanos) {
      nowNanos += TICK_NANOS;
      while (!network.isEmpty() && network.peekFirst().atNanos <= nowNanos) {
        deliver(network.pollFirst());
      }
      for (Node node : nodes) {
        long startNanos = cpuNow();
        List<MemberAction> actions = node.state.tick(nowNanos);
        run(node, actions);
        node.cpuNanos += cpuNow() - startNanos;
      }
    }
  }

  private void deliver(Delivery delivery) {
    Node to = byVm.get(delivery.to);
    long startNanos = cpuNow();
    PeerMessage message = PeerCodec.decode(delivery.content).get().message();
    MemberMessage inner = ((PeerMessage.Membership) message).message();
    run(to, to.state.applyMessage(nowNanos, delivery.from, inner));
    to.receivedBytes += wireBytes(delivery.content);
    to.cpuNanos += cpuNow() - startNanos;
  }

  private void run(Node from, List<MemberAction> actions) {
    for (MemberAction action : actions) {
      if (action instanceof MemberAction.SendMessage send) {
        byte[] content =
            PeerCodec.encode(from.sentMessages, new PeerMessage.Membership(send.message()));
        from.sentMessages++;
        from.sentBytes += wireBytes(content);
        network.addLast(new Delivery(nowNanos + TICK_NANOS, from.member, send.to().vm(), content));
      }
    }
  }

  private static long wireBytes(byte[] content) {
    return (long) content.length + FRAME_HEADER_BYTES + TCP_IP_HEADER_BYTES;
  }

  private static long cpuNow() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }
}
