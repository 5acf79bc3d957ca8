package org.mustardstage.core.permit;

import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.mustardstage.core.id.VmIncarnation;

/** The requests for leases of other VMs that wait here: one of each VM, its latest. */
final class PeerRequests {
  private final Map<VmIncarnation, PeerRequest> byPeer = new HashMap<>();
  private final Map<VmIncarnation, Long> lastCorrelations = new HashMap<>();
  private final int capacity;

  /** A request of another VM that waits. */
  static final class PeerRequest {
    final VmIncarnation peer;
    final long correlationId;
    final Set<LimitId> limits;
    final long leaseNanos;
    final long deadlineNanos;
    final long expiresNanos;
    int wanted;

    PeerRequest(VmIncarnation peer, PermitMessage.LeaseRequest request, long nowNanos) {
      this.peer = peer;
      this.correlationId = request.correlationId();
      this.limits = ImmutableSet.copyOf(request.limits());
      this.leaseNanos = request.durationNanos();
      this.deadlineNanos = nowNanos + request.durationNanos();
      this.expiresNanos = nowNanos + request.waitTimeoutNanos();
      this.wanted = request.wanted();
    }
  }

  PeerRequests(int capacity) {
    this.capacity = capacity;
  }

  /** Returns whether the request is newer than all from its sender so far, and remembers it. */
  boolean isNew(VmIncarnation from, long correlationId) {
    Long last = lastCorrelations.get(from);
    if (last != null && correlationId <= last) {
      return false;
    }
    lastCorrelations.put(from, correlationId);
    byPeer.remove(from);
    return true;
  }

  void add(PeerRequest request) {
    if (byPeer.size() < capacity) {
      byPeer.put(request.peer, request);
    }
  }

  /** Takes back the request of {@code peer}. */
  void withdraw(VmIncarnation peer, long correlationId) {
    PeerRequest request = byPeer.get(peer);
    if (request != null && request.correlationId <= correlationId) {
      byPeer.remove(peer);
    }
    lastCorrelations.merge(peer, correlationId, Math::max);
  }

  /** Removes the request of {@code peer} when nothing more is wanted. */
  void removeIfServed(PeerRequest request) {
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

  /** Returns the request for {@code limit} with the first deadline, or null. */
  PeerRequest firstFor(LimitId limit) {
    PeerRequest first = null;
    for (PeerRequest request : byPeer.values()) {
      if (request.limits.contains(limit) && comesBefore(request, first)) {
        first = request;
      }
    }
    return first;
  }

  private static boolean comesBefore(PeerRequest request, PeerRequest other) {
    return other == null
        || request.deadlineNanos < other.deadlineNanos
        || (request.deadlineNanos == other.deadlineNanos && request.peer.compareTo(other.peer) < 0);
  }

  /** Removes the requests that waited long enough. */
  void expire(long nowNanos) {
    byPeer.values().removeIf(request -> request.expiresNanos <= nowNanos);
  }

  /** Forgets all VMs but {@code kept}. */
  void retain(Set<VmIncarnation> kept) {
    byPeer.keySet().retainAll(kept);
    lastCorrelations.keySet().retainAll(kept);
  }
}
