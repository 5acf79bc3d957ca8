package org.mustardstage.core.permit;

import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.mustardstage.core.id.VmIncarnation;

/** The lease requests of other VMs that are queued here: the latest of each VM. */
final class PeerRequests {
  private final Map<VmIncarnation, PeerRequest> byPeer = new HashMap<>();
  private final Map<VmIncarnation, Long> lastCorrelationIds = new HashMap<>();
  private final int capacity;

  /** A queued lease request of another VM. */
  static final class PeerRequest {
    final VmIncarnation peer;
    final long correlationId;
    final Set<LimitId> limits;
    final long leaseDurationNanos;
    final long deadlineNanos;
    final long expiryNanos;
    int wanted;

    PeerRequest(VmIncarnation peer, PermitMessage.LeaseRequest request, long nowNanos) {
      this.peer = peer;
      this.correlationId = request.correlationId();
      this.limits = ImmutableSet.copyOf(request.limits());
      this.leaseDurationNanos = request.durationNanos();
      this.deadlineNanos = nowNanos + request.durationNanos();
      this.expiryNanos = nowNanos + request.waitTimeoutNanos();
      this.wanted = request.wanted();
    }
  }

  PeerRequests(int capacity) {
    this.capacity = capacity;
  }

  /**
   * Returns whether the request is newer than all earlier ones from its sender. If so, records it
   * and removes the earlier request of that VM.
   */
  boolean recordIfNewer(VmIncarnation from, long correlationId) {
    Long last = lastCorrelationIds.get(from);
    if (last != null && correlationId <= last) {
      return false;
    }
    lastCorrelationIds.put(from, correlationId);
    byPeer.remove(from);
    return true;
  }

  void add(PeerRequest request) {
    if (byPeer.size() < capacity) {
      byPeer.put(request.peer, request);
    }
  }

  /** Removes the request of {@code peer}, and ignores it if it arrives after its withdrawal. */
  void withdraw(VmIncarnation peer, long correlationId) {
    PeerRequest request = byPeer.get(peer);
    if (request != null && request.correlationId <= correlationId) {
      byPeer.remove(peer);
    }
    lastCorrelationIds.merge(peer, correlationId, Math::max);
  }

  /** Removes the request if it has received all permits that it asked for. */
  void removeIfSatisfied(PeerRequest request) {
    if (request.wanted <= 0) {
      byPeer.remove(request.peer, request);
    }
  }

  boolean isEmpty() {
    return byPeer.isEmpty();
  }

  int size() {
    return byPeer.size();
  }

  Collection<PeerRequest> all() {
    return byPeer.values();
  }

  /** Returns the request for {@code limit} with the earliest deadline, or null. */
  PeerRequest earliestFor(LimitId limit) {
    PeerRequest earliest = null;
    for (PeerRequest request : byPeer.values()) {
      if (request.limits.contains(limit) && hasEarlierDeadline(request, earliest)) {
        earliest = request;
      }
    }
    return earliest;
  }

  private static boolean hasEarlierDeadline(PeerRequest request, PeerRequest other) {
    return other == null
        || request.deadlineNanos < other.deadlineNanos
        || (request.deadlineNanos == other.deadlineNanos && request.peer.compareTo(other.peer) < 0);
  }

  /** Removes the requests whose wait timeout has passed. */
  void removeExpired(long nowNanos) {
    byPeer.values().removeIf(request -> request.expiryNanos <= nowNanos);
  }

  /** Removes all VMs other than {@code kept}. */
  void retainPeers(Set<VmIncarnation> kept) {
    byPeer.keySet().retainAll(kept);
    lastCorrelationIds.keySet().retainAll(kept);
  }
}
