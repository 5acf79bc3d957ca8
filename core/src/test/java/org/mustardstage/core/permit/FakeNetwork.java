package org.mustardstage.core.permit;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.mustardstage.core.id.VmIncarnation;

/** Carries messages with delay, loss, duplication, reordering and partition. */
public final class FakeNetwork {
  private static final long BASE_DELAY_NANOS = 200_000L;

  private final EventQueue events;
  private final RandomGenerator random;
  private final Map<VmIncarnation, Receiver> receivers = new HashMap<>();
  private final Set<VmIncarnation> cutOff = new HashSet<>();
  private final Map<VmIncarnation, Integer> sides = new HashMap<>();
  private double lossShare;
  private double duplicateShare;
  private long maxExtraDelayNanos = BASE_DELAY_NANOS;
  private long deliveredMessages;

  /** Takes messages. */
  public interface Receiver {
    /** Takes over a message. */
    void receive(VmIncarnation from, PermitMessage message);
  }

  FakeNetwork(EventQueue events, RandomGenerator random) {
    this.events = events;
    this.random = random;
  }

  /** Connects a VM. */
  public void connect(VmIncarnation vm, Receiver receiver) {
    receivers.put(vm, receiver);
  }

  /** Disconnects a VM for good. */
  public void disconnect(VmIncarnation vm) {
    receivers.remove(vm);
  }

  /** Sets the shares of messages that are lost and doubled, and the largest extra delay. */
  public void setFaults(double newLossShare, double newDuplicateShare, long newMaxDelayNanos) {
    lossShare = newLossShare;
    duplicateShare = newDuplicateShare;
    maxExtraDelayNanos = Math.max(BASE_DELAY_NANOS, newMaxDelayNanos);
  }

  /** Cuts one VM off from all others, or connects it again. */
  public void setIsolated(VmIncarnation vm, boolean isCutOff) {
    if (isCutOff) {
      cutOff.add(vm);
    } else {
      cutOff.remove(vm);
    }
  }

  /** Puts a VM on a side of a partition; VMs on different sides do not reach each other. */
  public void setPartition(VmIncarnation vm, int side) {
    sides.put(vm, side);
  }

  /** Ends all partitions and other faults. */
  public void heal() {
    cutOff.clear();
    sides.clear();
    setFaults(0, 0, 0);
  }

  /** Returns whether {@code from} reaches {@code to}. */
  public boolean canReach(VmIncarnation from, VmIncarnation to) {
    return !cutOff.contains(from)
        && !cutOff.contains(to)
        && sides.getOrDefault(from, 0).equals(sides.getOrDefault(to, 0));
  }

  /** Returns whether {@code vm} is cut off from all others and the platform. */
  public boolean isIsolated(VmIncarnation vm) {
    return cutOff.contains(vm);
  }

  /** Sends a message. */
  public void send(VmIncarnation from, VmIncarnation to, PermitMessage message) {
    if (random.nextDouble() >= lossShare) {
      deliverLater(from, to, message);
    }
    if (duplicateShare > 0 && random.nextDouble() < duplicateShare) {
      deliverLater(from, to, message);
    }
  }

  private void deliverLater(VmIncarnation from, VmIncarnation to, PermitMessage message) {
    long delayNanos = BASE_DELAY_NANOS + random.nextLong(maxExtraDelayNanos);
    events.after(
        delayNanos,
        () -> {
          Receiver receiver = receivers.get(to);
          if (receiver != null && canReach(from, to)) {
            deliveredMessages++;
            receiver.receive(from, message);
          }
        });
  }

  /** Returns how many messages arrived. */
  public long deliveredMessages() {
    return deliveredMessages;
  }
}
