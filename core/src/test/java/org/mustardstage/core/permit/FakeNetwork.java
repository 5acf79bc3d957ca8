package org.mustardstage.core.permit;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.mustardstage.core.id.VmIncarnation;

/** A network that delays, reorders, loses and duplicates messages, and that can be partitioned. */
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

  /** The receiving end of a VM. */
  public interface Receiver {
    /** Receives a message. */
    void receive(VmIncarnation from, PermitMessage message);
  }

  FakeNetwork(EventQueue events, RandomGenerator random) {
    this.events = events;
    this.random = random;
  }

  /** Connects a VM to the network. */
  public void connect(VmIncarnation vm, Receiver receiver) {
    receivers.put(vm, receiver);
  }

  /** Disconnects a VM permanently. */
  public void disconnect(VmIncarnation vm) {
    receivers.remove(vm);
  }

  /** Sets the rates at which messages are lost and duplicated, and the largest extra delay. */
  public void setFaults(double newLossRate, double newDuplicateRate, long newMaxExtraDelayNanos) {
    lossRate = newLossRate;
    duplicateRate = newDuplicateRate;
    maxExtraDelayNanos = Math.max(BASE_DELAY_NANOS, newMaxExtraDelayNanos);
  }

  /** Isolates one VM from all others, or connects it again. */
  public void setIsolated(VmIncarnation vm, boolean isIsolated) {
    if (isIsolated) {
      isolated.add(vm);
    } else {
      isolated.remove(vm);
    }
  }

  /** Assigns a VM to a partition; VMs in different partitions can't reach each other. */
  public void setPartition(VmIncarnation vm, int partition) {
    partitions.put(vm, partition);
  }

  /** Ends all faults, partitions included. */
  public void heal() {
    isolated.clear();
    partitions.clear();
    setFaults(0, 0, 0);
  }

  /** Returns whether {@code from} can reach {@code to}. */
  public boolean canReach(VmIncarnation from, VmIncarnation to) {
    return !isolated.contains(from)
        && !isolated.contains(to)
        && partitions.getOrDefault(from, 0).equals(partitions.getOrDefault(to, 0));
  }

  /** Returns whether {@code vm} is isolated from all other VMs and the platform. */
  public boolean isIsolated(VmIncarnation vm) {
    return isolated.contains(vm);
  }

  /** Sends a message, subject to the configured faults. */
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

  /** Returns how many messages were delivered. */
  public long deliveredMessages() {
    return deliveredMessages;
  }
}
