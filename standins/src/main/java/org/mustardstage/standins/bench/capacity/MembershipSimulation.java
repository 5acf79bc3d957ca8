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
 * Simulates the membership protocol of many VMs in one process and in virtual time. Every message
 * is encoded and decoded by the codec of the peer protocol, so that the measured bytes and
 * processor time are those of production without the sockets.
 */
final class MembershipSimulation {
  private static final long TICK_INTERVAL_NANOS = Duration.ofMillis(20).toNanos();
  private static final int FRAME_HEADER_BYTES = 4;
  private static final int TCP_IP_HEADER_BYTES = 52;

  private final List<Node> nodes = new ArrayList<>();
  private final Map<VmId, Node> nodesByVm = new HashMap<>();
  private final Deque<Delivery> inFlight = new ArrayDeque<>();
  private long nowNanos;

  /** A VM with its membership state and cost counters. */
  static final class Node {
    private final Member member;
    private final Membership membership;
    private long sentMessages;
    private long sentBytes;
    private long receivedBytes;
    private long cpuNanos;

    Node(Member member, Membership membership) {
      this.member = member;
      this.membership = membership;
    }

    Member member() {
      return member;
    }

    Membership membership() {
      return membership;
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

  /** A message in flight. */
  private static final class Delivery {
    private final long arrivalNanos;
    private final Member from;
    private final VmId to;
    private final byte[] content;

    Delivery(long arrivalNanos, Member from, VmId to, byte[] content) {
      this.arrivalNanos = arrivalNanos;
      this.from = from;
      this.to = to;
      this.content = content;
    }
  }

  private MembershipSimulation() {}

  static MembershipSimulation of(int zones, int regions, int vmsPerZone) {
    MembershipSimulation simulation = new MembershipSimulation();
    for (int zone = 0; zone < zones; zone++) {
      for (int vm = 0; vm < vmsPerZone; vm++) {
        simulation.add(zone % regions, zone, vm);
      }
    }
    List<Member> list = simulation.nodes.stream().map(Node::member).toList();
    simulation.nodes.forEach(
        node -> simulation.sendMessages(node, node.membership.applyVmList(0, list)));
    return simulation;
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
    Membership membership = new Membership(MembershipSettings.defaults(), member, nowNanos);
    Node node = new Node(member, membership);
    nodes.add(node);
    nodesByVm.put(member.vm(), node);
  }

  List<Node> nodes() {
    return nodes;
  }

  long nowNanos() {
    return nowNanos;
  }

  void setConfigVersion(ConfigVersion version) {
    nodes.forEach(node -> node.membership.setConfigVersion(version));
  }

  void resetCounters() {
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
      nowNanos += TICK_INTERVAL_NANOS;
      while (!inFlight.isEmpty() && inFlight.peekFirst().arrivalNanos <= nowNanos) {
        deliver(inFlight.pollFirst());
      }
      for (Node node : nodes) {
        long startNanos = threadCpuNanos();
        List<MemberAction> actions = node.membership.tick(nowNanos);
        sendMessages(node, actions);
        node.cpuNanos += threadCpuNanos() - startNanos;
      }
    }
  }

  private void deliver(Delivery delivery) {
    Node to = nodesByVm.get(delivery.to);
    long startNanos = threadCpuNanos();
    PeerMessage message = PeerCodec.decode(delivery.content).get().message();
    MemberMessage inner = ((PeerMessage.Membership) message).message();
    sendMessages(to, to.membership.applyMessage(nowNanos, delivery.from, inner));
    to.receivedBytes += wireBytes(delivery.content);
    to.cpuNanos += threadCpuNanos() - startNanos;
  }

  private void sendMessages(Node from, List<MemberAction> actions) {
    for (MemberAction action : actions) {
      if (action instanceof MemberAction.SendMessage send) {
        byte[] content =
            PeerCodec.encode(from.sentMessages, new PeerMessage.Membership(send.message()));
        from.sentMessages++;
        from.sentBytes += wireBytes(content);
        inFlight.addLast(
            new Delivery(nowNanos + TICK_INTERVAL_NANOS, from.member, send.to().vm(), content));
      }
    }
  }

  private static long wireBytes(byte[] content) {
    return (long) content.length + FRAME_HEADER_BYTES + TCP_IP_HEADER_BYTES;
  }

  private static long threadCpuNanos() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }
}
