package org.mustardstage.core.permit;

import java.util.HashMap;
import java.util.Map;
import org.mustardstage.core.permit.PeerRequests.PeerRequest;
import org.mustardstage.core.permit.WaitQueue.Waiter;

/** Decides where a free permit goes: to a request that waits here, to a VM, or nowhere yet. */
final class PermitDispatcher {
  private final AgentContext context;
  private final LeaseManager leases;
  private final WaitQueue waiters;
  private final PeerRequests peers;
  private final Map<Long, PermitInUse> permitsInUse = new HashMap<>();
  private long grantedCount;

  /** A permit in use by a request. */
  private record PermitInUse(LimitState limit, int number) {}

  PermitDispatcher(AgentContext context, LeaseManager leases, WaitQueue waiters, PeerRequests peers) {
    this.context = context;
    this.leases = leases;
    this.waiters = waiters;
    this.peers = peers;
  }

  boolean holdsPermit(long requestId) {
    return permitsInUse.containsKey(requestId);
  }

  int inUseCount() {
    return permitsInUse.size();
  }

  long grantedCount() {
    return grantedCount;
  }

  /** Grants the request a permit that is free here and returns whether there was one. */
  boolean tryGrant(long nowNanos, AcquireRequest request, long useUntilNanos) {
    long endNanos = useUntilNanos + context.settings.deadlineMarginNanos();
    for (int index = 0; index < request.candidates().size(); index++) {
      LimitState limit = context.limits.find(request.candidates().get(index));
      int number = limit == null ? -1 : leases.findUsable(nowNanos, limit, endNanos);
      if (number >= 0) {
        grant(nowNanos, request.requestId(), limit, number, useUntilNanos);
        return true;
      }
    }
    return false;
  }

  private void grant(
      long nowNanos, long requestId, LimitState limit, int number, long useUntilNanos) {
    limit.markInUse(number, requestId, useUntilNanos + context.settings.deadlineMarginNanos());
    permitsInUse.put(requestId, new PermitInUse(limit, number));
    grantedCount++;
    context.recordRemoteUse(limit.zone, nowNanos);
    context.actions.add(
        new PermitAction.Granted(requestId, new Permit(limit.id, number), useUntilNanos));
  }

  /** Ends the use of a request. */
  void release(long nowNanos, long requestId, boolean slotIsFree) {
    PermitInUse use = permitsInUse.remove(requestId);
    if (use == null || use.limit().requestId(use.number()) != requestId) {
      return;
    }
    long endNanos = use.limit().useExpiryNanos(use.number());
    if (context.guards.slotIsFree(slotIsFree, nowNanos, endNanos)) {
      use.limit().clearUse(use.number(), nowNanos);
      offer(nowNanos, use.limit(), use.number());
    } else {
      use.limit().clearRequest(use.number());
    }
  }

  /** Ends a use whose time is over. */
  void expireUse(long nowNanos, LimitState limit, int number) {
    permitsInUse.remove(limit.requestId(number));
    limit.clearUse(number, nowNanos);
  }

  /** Finds a taker for a permit that may be free. */
  void offer(long nowNanos, LimitState limit, int number) {
    if (!limit.isAvailable(number)) {
      return;
    }
    Waiter waiter = waiters.earliestFor(limit.id);
    PeerRequest request = peers.isEmpty() ? null : peers.earliestFor(limit.id);
    if (waiter != null
        && !isServedBefore(request, waiter)
        && tryGrantWaiter(waiter, limit, number, nowNanos)) {
      return;
    }
    if (request != null && tryServe(request, limit, number, nowNanos)) {
      return;
    }
    if (waiter != null && tryGrantWaiter(waiter, limit, number, nowNanos)) {
      return;
    }
    sendToWantingVm(limit, number, nowNanos);
  }

  private boolean isServedBefore(PeerRequest request, Waiter waiter) {
    return request != null && request.deadlineNanos < useExpiryNanos(waiter);
  }

  private long useExpiryNanos(Waiter waiter) {
    return waiter.useDeadlineNanos() + context.settings.deadlineMarginNanos();
  }

  private boolean tryGrantWaiter(Waiter waiter, LimitState limit, int number, long nowNanos) {
    if (!leases.isUsable(nowNanos, limit, number, useExpiryNanos(waiter))) {
      return false;
    }
    waiters.remove(waiter.requestId());
    grant(nowNanos, waiter.requestId(), limit, number, waiter.useDeadlineNanos());
    return true;
  }

  /** Passes the permit to a VM that asked, and returns whether it went. */
  private boolean tryServe(PeerRequest request, LimitState limit, int number, long nowNanos) {
    if (!leases.isUsable(nowNanos, limit, number, nowNanos + request.leaseDurationNanos)
        || !leases.transferTo(request.peer, request.correlationId, nowNanos, limit, number)) {
      return false;
    }
    request.wanted--;
    peers.removeIfSatisfied(request);
    return true;
  }

  private void sendToWantingVm(LimitState limit, int number, long nowNanos) {
    if (limit.permitsWantedBy != null && nowNanos < limit.permitsWantedUntilNanos) {
      leases.transferTo(limit.permitsWantedBy, 0, nowNanos, limit, number);
    }
  }

  /** Offers every free permit of the limit. */
  void offerAll(long nowNanos, LimitState limit) {
    for (int number = 0; number < limit.permitCount() && limit.availableCount() > 0; number++) {
      offer(nowNanos, limit, number);
    }
  }

  /** Serves a request that arrived from free permits, as far as they go. */
  void serveFromAvailable(long nowNanos, PeerRequest request, PermitMessage.LeaseRequest message) {
    for (LimitId id : message.limits()) {
      LimitState limit = context.limits.find(id);
      if (limit != null) {
        serveFrom(nowNanos, request, limit, request.wanted);
      }
    }
    int ahead = message.prefetch();
    for (LimitId id : message.limits()) {
      LimitState limit = context.limits.find(id);
      if (limit != null && ahead > 0) {
        ahead -= serveFrom(nowNanos, request, limit, Math.min(ahead, limit.availableCount() / 2));
      }
    }
  }

  private int serveFrom(long nowNanos, PeerRequest request, LimitState limit, int most) {
    int served = 0;
    for (int number = 0; number < limit.permitCount() && served < most; number++) {
      if (limit.isAvailable(number) && tryServe(request, limit, number, nowNanos)) {
        served++;
      }
    }
    return served;
  }
}
