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
final class ClockMarks {
  /** Stands for a mark that was never received or is too old. */
  static final long UNKNOWN = Long.MIN_VALUE;

  private static final int RING_SIZE = 4096;
  private static final long STEP_NANOS = 5_000_000L;

  private final long[] times = new long[RING_SIZE];
  private final long first;
  private long latest;
  private final Map<VmIncarnation, PeerMark> peers = new HashMap<>();

  /** The latest mark of a VM and when it was first received. */
  record PeerMark(long mark, long receivedNanos) {}

  ClockMarks(long first) {
    this.first = first;
    this.latest = first - 1;
  }

  /** Returns a mark that stands for a time not after {@code nowNanos}. */
  long mark(long nowNanos) {
    if (latest < first || nowNanos - times[slotOf(latest)] >= STEP_NANOS) {
      return newMark(nowNanos);
    }
    return latest;
  }

  /** Returns a mark that stands for {@code nowNanos} and for no earlier time. */
  long newMark(long nowNanos) {
    latest++;
    times[slotOf(latest)] = nowNanos;
    return latest;
  }

  /** Returns the time of a mark of this VM, or {@link #UNKNOWN}. */
  long timeOf(long mark) {
    if (mark < first || mark > latest || latest - mark >= RING_SIZE) {
      return UNKNOWN;
    }
    return times[slotOf(mark)];
  }

  /** Takes over a mark of another VM. */
  void received(VmIncarnation from, long mark, long nowNanos) {
    PeerMark known = peers.get(from);
    if (known == null || mark > known.mark()) {
      peers.put(from, new PeerMark(mark, nowNanos));
    }
  }

  /** Returns the latest mark of {@code peer}, or null when it never sent one. */
  PeerMark latestOf(VmIncarnation peer) {
    return peers.get(peer);
  }

  /** Returns whether anything new came from {@code peer} since {@code sinceNanos}. */
  boolean heardSince(VmIncarnation peer, long sinceNanos) {
    PeerMark known = peers.get(peer);
    return known != null && known.receivedNanos() >= sinceNanos;
  }

  /** Forgets all VMs but {@code kept}. */
  void retain(Set<VmIncarnation> kept) {
    peers.keySet().retainAll(kept);
  }

  private static int slotOf(long mark) {
    return (int) (mark & (RING_SIZE - 1));
  }
}
