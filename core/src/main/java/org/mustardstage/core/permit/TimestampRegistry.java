package org.mustardstage.core.permit;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.mustardstage.core.id.VmIncarnation;

/**
 * Assigns ids to times of the local clock for use in messages, and records the latest id received
 * from each VM. A lease transferred to a VM is counted from the latest id received from it, so that
 * network delay shortens the lease at the lessee and never lengthens it.
 */
final class TimestampRegistry {
  /**
   * The result of {@link #timeOf} for an id that this VM never issued or that has left the ring.
   */
  static final long UNKNOWN = Long.MIN_VALUE;

  private static final int RING_CAPACITY = 4096;
  private static final long RESOLUTION_NANOS = 5_000_000L;

  private final long[] times = new long[RING_CAPACITY];
  private final long firstId;
  private long latestId;
  private final Map<VmIncarnation, PeerTimestamp> latestByPeer = new HashMap<>();

  /** The latest id of a VM and when it was first received. */
  record PeerTimestamp(long id, long receivedNanos) {}

  TimestampRegistry(long firstId) {
    this.firstId = firstId;
    this.latestId = firstId - 1;
  }

  /**
   * Returns an id for a time that is not after {@code nowNanos} and less than {@code
   * RESOLUTION_NANOS} before it.
   */
  long currentId(long nowNanos) {
    if (latestId < firstId || nowNanos - times[ringIndex(latestId)] >= RESOLUTION_NANOS) {
      return newId(nowNanos);
    }
    return latestId;
  }

  /** Returns a new id that stands for exactly {@code nowNanos}. */
  long newId(long nowNanos) {
    latestId++;
    times[ringIndex(latestId)] = nowNanos;
    return latestId;
  }

  /** Returns the time that an id of this VM stands for, or {@link #UNKNOWN}. */
  long timeOf(long id) {
    if (id < firstId || id > latestId || latestId - id >= RING_CAPACITY) {
      return UNKNOWN;
    }
    return times[ringIndex(id)];
  }

  /** Records an id received from another VM, unless a later one is known. */
  void recordPeerId(VmIncarnation from, long id, long nowNanos) {
    PeerTimestamp known = latestByPeer.get(from);
    if (known == null || id > known.id()) {
      latestByPeer.put(from, new PeerTimestamp(id, nowNanos));
    }
  }

  /** Returns the latest id of {@code peer}, or null if it never sent one. */
  PeerTimestamp latestFrom(VmIncarnation peer) {
    return latestByPeer.get(peer);
  }

  /** Returns whether a new id arrived from {@code peer} since {@code sinceNanos}. */
  boolean hasReceivedSince(VmIncarnation peer, long sinceNanos) {
    PeerTimestamp known = latestByPeer.get(peer);
    return known != null && known.receivedNanos() >= sinceNanos;
  }

  /** Removes all VMs other than {@code kept}. */
  void retainPeers(Set<VmIncarnation> kept) {
    latestByPeer.keySet().retainAll(kept);
  }

  private static int ringIndex(long id) {
    return (int) (id & (RING_CAPACITY - 1));
  }
}
