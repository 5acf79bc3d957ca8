package org.mustardstage.core.permit;

import java.util.HashMap;
import java.util.Map;
import org.mustardstage.core.permit.PeerRequests.PeerRequest;
import org.mustardstage.core.permit.WaitQueue.Waiter;

/**
 * Decides where an available permit goes: to a queued request of this VM, to a VM that requested
 * leases, or to the VM that wants idle permits of the limit.
 */
final class PermitDispatcher {
  private final AgentContext context;
  private final LeaseManager leases;
  private final WaitQueue waiters;
  private final PeerRequests peers;
  private final Map<Long, PermitInUse> permitsInUse = new HashMap<>();
  private long grantedCount;

  /** A permit that a request uses. */
  private record PermitInUse(LimitState limit, int number) {}

  PermitDispatcher(
      AgentContext context, LeaseManager leases, WaitQueue waiters, PeerRequests peers) {
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

  /** Grants the request an available permit, and returns whether there was one. */
  boolean tryGrant(long nowNanos, AcquireRequest request, long useDeadlineNanos) {
    long useExpiryNanos = useDeadlineNanos + context.settings.deadlineMarginNanos();
    for (int index = 0; index < request.candidates().size(); index++) {
      LimitState limit = context.limits.find(request.candidates().get(index));
      int number = limit == null ? -1 : leases.findUsable(nowNanos, limit, useExpiryNanos);
      if (number >= 0) {
        grant(nowNanos, request.requestId(), limit, number, useDeadlineNanos);
        return true;
      }
    }
    return false;
  }

  private void grant(
      long nowNanos, long requestId, LimitState limit, int number, long useDeadlineNanos) {
    limit.markInUse(number, requestId, useDeadlineNanos + context.settings.deadlineMarginNanos());
    permitsInUse.put(requestId, new PermitInUse(limit, number));
    grantedCount++;
    context.recordRemoteUse(limit.zone, nowNanos);
    context.actions.add(
        new PermitAction.Granted(requestId, new Permit(limit.id, number), useDeadlineNanos));
  }

  /**
   * Releases the permit of a request. If the request may still run, the permit stays in use until
   * its expiry.
   */
  void release(long nowNanos, long requestId, boolean slotIsFree) {
    PermitInUse use = permitsInUse.remove(requestId);
    if (use == null || use.limit().requestId(use.number()) != requestId) {
      return;
    }
    long useExpiryNanos = use.limit().useExpiryNanos(use.number());
    if (context.guards.slotIsFree(slotIsFree, nowNanos, useExpiryNanos)) {
      use.limit().clearUse(use.number(), nowNanos);
      offer(nowNanos, use.limit(), use.number());
    } else {
      use.limit().clearRequest(use.number());
    }
  }

  /** Ends a use that has expired. */
  void expireUse(long nowNanos, LimitState limit, int number) {
    permitsInUse.remove(limit.requestId(number));
    limit.clearUse(number, nowNanos);
  }

  /**
   * Offers a permit, if it is available, to the queued request and the lease request with the
   * earliest deadlines, in the order of their deadlines, and then to the VM that wants idle
   * permits.
   */
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

  /** Transfers the permit to a VM that requested leases, and returns whether it was transferred. */
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

  /** Offers each available permit of the limit. */
  void offerAll(long nowNanos, LimitState limit) {
    for (int number = 0; number < limit.permits() && limit.availableCount() > 0; number++) {
      offer(nowNanos, limit, number);
    }
  }

  /**
   * Serves an arriving lease request from available permits. Then transfers the permits that it
   * asks to prefetch, at most half of those available per limit.
   */
  void serveFromAvailable(long nowNanos, PeerRequest request, PermitMessage.LeaseRequest message) {
    for (LimitId id : message.limits()) {
      LimitState limit = context.limits.find(id);
      if (limit != null) {
        serveFrom(nowNanos, request, limit, request.wanted);
      }
    }
    int prefetch = message.prefetch();
    for (LimitId id : message.limits()) {
      LimitState limit = context.limits.find(id);
      if (limit != null && prefetch > 0) {
        prefetch -=
            serveFrom(nowNanos, request, limit, Math.min(prefetch, limit.availableCount() / 2));
      }
    }
  }

  private int serveFrom(long nowNanos, PeerRequest request, LimitState limit, int maxPermits) {
    int served = 0;
    for (int number = 0; number < limit.permits() && served < maxPermits; number++) {
      if (limit.isAvailable(number) && tryServe(request, limit, number, nowNanos)) {
        served++;
      }
    }
    return served;
  }
}
