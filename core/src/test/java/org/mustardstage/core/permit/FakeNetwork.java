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
  private final Set<VmIncarnation> isolated = new HashSet<>();
  private final Map<VmIncarnation, Integer> partitions = new HashMap<>();
  private double lossRate;
  private double duplicateRate;
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
    lossRate = newLossShare;
    duplicateRate = newDuplicateShare;
    maxExtraDelayNanos = Math.max(BASE_DELAY_NANOS, newMaxDelayNanos);
  }

  /** Cuts one VM off from all others, or connects it again. */
  public void setIsolated(VmIncarnation vm, boolean isCutOff) {
    if (isCutOff) {
      isolated.add(vm);
    } else {
      isolated.remove(vm);
    }
  }

  /** Puts a VM on a side of a partition; VMs on different sides do not reach each other. */
  public void setPartition(VmIncarnation vm, int side) {
    partitions.put(vm, side);
  }

  /** Ends all partitions and other faults. */
  public void heal() {
    isolated.clear();
    partitions.clear();
    setFaults(0, 0, 0);
  }

  /** Returns whether {@code from} reaches {@code to}. */
  public boolean canReach(VmIncarnation from, VmIncarnation to) {
    return !isolated.contains(from)
        && !isolated.contains(to)
        && partitions.getOrDefault(from, 0).equals(partitions.getOrDefault(to, 0));
  }

  /** Returns whether {@code vm} is cut off from all others and the platform. */
  public boolean isIsolated(VmIncarnation vm) {
    return isolated.contains(vm);
  }

  /** Sends a message. */
  public void send(VmIncarnation from, VmIncarnation to, PermitMessage message) {
    if (random.nextDouble() >= lossRate) {
      deliverLater(from, to, message);
    }
    if (duplicateRate > 0 && random.nextDouble() < duplicateRate) {
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
