package org.mustardstage.core.permit;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.mustardstage.core.id.VmIncarnation;

/**
 * Numbers times of the own clock for use in messages, and remembers the latest number received from
 * each VM. A lease passed to a VM is counted from its latest mark, so that the time the message
 * travels shortens the lease at the lessee and never lengthens it.
 */
final class TimestampRegistry {
  /** Stands for a mark that was never received or is too old. */
  static final long UNKNOWN = Long.MIN_VALUE;

  private static final int RING_CAPACITY = 4096;
  private static final long RESOLUTION_NANOS = 5_000_000L;

  private final long[] times = new long[RING_CAPACITY];
  private final long firstId;
  private long latestId;
  private final Map<VmIncarnation, PeerTimestamp> latestByPeer = new HashMap<>();

  /** The latest mark of a VM and when it was first received. */
  record PeerTimestamp(long id, long receivedNanos) {}

  TimestampRegistry(long first) {
    this.firstId = first;
    this.latestId = first - 1;
  }

  /** Returns a mark that stands for a time not after {@code nowNanos}. */
  long currentId(long nowNanos) {
    if (latestId < firstId || nowNanos - times[ringIndex(latestId)] >= RESOLUTION_NANOS) {
      return newId(nowNanos);
    }
    return latestId;
  }

  /** Returns a mark that stands for {@code nowNanos} and for no earlier time. */
  long newId(long nowNanos) {
    latestId++;
    times[ringIndex(latestId)] = nowNanos;
    return latestId;
  }

  /** Returns the time of a mark of this VM, or {@link #UNKNOWN}. */
  long timeOf(long mark) {
    if (mark < firstId || mark > latestId || latestId - mark >= RING_CAPACITY) {
      return UNKNOWN;
    }
    return times[ringIndex(mark)];
  }

  /** Takes over a mark of another VM. */
  void recordPeerId(VmIncarnation from, long mark, long nowNanos) {
    PeerTimestamp known = latestByPeer.get(from);
    if (known == null || mark > known.id()) {
      latestByPeer.put(from, new PeerTimestamp(mark, nowNanos));
    }
  }

  /** Returns the latest mark of {@code peer}, or null when it never sent one. */
  PeerTimestamp latestFrom(VmIncarnation peer) {
    return latestByPeer.get(peer);
  }

  /** Returns whether anything new came from {@code peer} since {@code sinceNanos}. */
  boolean hasReceivedSince(VmIncarnation peer, long sinceNanos) {
    PeerTimestamp known = latestByPeer.get(peer);
    return known != null && known.receivedNanos() >= sinceNanos;
  }

  /** Forgets all VMs but {@code kept}. */
  void retainPeers(Set<VmIncarnation> kept) {
    latestByPeer.keySet().retainAll(kept);
  }

  private static int ringIndex(long mark) {
    return (int) (mark & (RING_CAPACITY - 1));
  }
}
