package org.mustardstage.core.permit;

import java.util.HashMap;
import java.util.Map;
import org.mustardstage.core.permit.PeerRequests.PeerRequest;
import org.mustardstage.core.permit.WaitQueue.Waiter;

/** Decides where a free permit goes: to a request that waits here, to a VM, or nowhere yet. */
final class PermitDispatch {
  private final AgentContext context;
  private final LeaseBook leases;
  private final WaitQueue waiters;
  private final PeerRequests peers;
  private final Map<Long, Use> uses = new HashMap<>();
  private long granted;

  /** A permit in use by a request. */
  private record Use(LimitState limit, int number) {}

  PermitDispatch(AgentContext context, LeaseBook leases, WaitQueue waiters, PeerRequests peers) {
    this.context = context;
    this.leases = leases;
    this.waiters = waiters;
    this.peers = peers;
  }

  boolean isInUse(long requestId) {
    return uses.containsKey(requestId);
  }

  int countInUse() {
    return uses.size();
  }

  long countGranted() {
    return granted;
  }

  /** Grants the request a permit that is free here and returns whether there was one. */
  boolean grantNow(long nowNanos, AcquireRequest request, long useUntilNanos) {
    long endNanos = useUntilNanos + context.settings.deadlineMarginNanos();
    for (int index = 0; index < request.candidates().size(); index++) {
      LimitState limit = context.table.find(request.candidates().get(index));
      int number = limit == null ? -1 : leases.findFor(nowNanos, limit, endNanos);
      if (number >= 0) {
        grant(nowNanos, request.requestId(), limit, number, useUntilNanos);
        return true;
      }
    }
    return false;
  }

  private void grant(
      long nowNanos, long requestId, LimitState limit, int number, long useUntilNanos) {
    limit.use(number, requestId, useUntilNanos + context.settings.deadlineMarginNanos());
    uses.put(requestId, new Use(limit, number));
    granted++;
    context.countUse(limit.zone, nowNanos);
    context.outbox.add(
        new PermitAction.Granted(requestId, new Permit(limit.id, number), useUntilNanos));
  }

  /** Ends the use of a request. */
  void release(long nowNanos, long requestId, boolean slotIsFree) {
    Use use = uses.remove(requestId);
    if (use == null || use.limit().request(use.number()) != requestId) {
      return;
    }
    long endNanos = use.limit().useUntilNanos(use.number());
    if (context.guards.slotIsFree(slotIsFree, nowNanos, endNanos)) {
      use.limit().endUse(use.number(), nowNanos);
      offer(nowNanos, use.limit(), use.number());
    } else {
      use.limit().forgetRequest(use.number());
    }
  }

  /** Ends a use whose time is over. */
  void expireUse(long nowNanos, LimitState limit, int number) {
    uses.remove(limit.request(number));
    limit.endUse(number, nowNanos);
  }

  /** Finds a taker for a permit that may be free. */
  void offer(long nowNanos, LimitState limit, int number) {
    if (!limit.isAvailable(number)) {
      return;
    }
    Waiter waiter = waiters.firstFor(limit.id);
    PeerRequest request = peers.isEmpty() ? null : peers.firstFor(limit.id);
    if (waiter != null
        && !isPreferred(request, waiter)
        && grantWaiter(waiter, limit, number, nowNanos)) {
      return;
    }
    if (request != null && serve(request, limit, number, nowNanos)) {
      return;
    }
    if (waiter != null && grantWaiter(waiter, limit, number, nowNanos)) {
      return;
    }
    followCall(limit, number, nowNanos);
  }

  private boolean isPreferred(PeerRequest request, Waiter waiter) {
    return request != null && request.deadlineNanos < endNanos(waiter);
  }

  private long endNanos(Waiter waiter) {
    return waiter.useUntilNanos() + context.settings.deadlineMarginNanos();
  }

  private boolean grantWaiter(Waiter waiter, LimitState limit, int number, long nowNanos) {
    if (!leases.covers(nowNanos, limit, number, endNanos(waiter))) {
      return false;
    }
    waiters.remove(waiter.requestId());
    grant(nowNanos, waiter.requestId(), limit, number, waiter.useUntilNanos());
    return true;
  }

  /** Passes the permit to a VM that asked, and returns whether it went. */
  private boolean serve(PeerRequest request, LimitState limit, int number, long nowNanos) {
    if (!leases.covers(nowNanos, limit, number, nowNanos + request.leaseNanos)
        || !leases.passTo(request.peer, request.correlationId, nowNanos, limit, number)) {
      return false;
    }
    request.wanted--;
    peers.removeIfServed(request);
    return true;
  }

  private void followCall(LimitState limit, int number, long nowNanos) {
    if (limit.wantedBy != null && nowNanos < limit.wantedUntilNanos) {
      leases.passTo(limit.wantedBy, 0, nowNanos, limit, number);
    }
  }

  /** Offers every free permit of the limit. */
  void offerAll(long nowNanos, LimitState limit) {
    for (int number = 0; number < limit.permits() && limit.available() > 0; number++) {
      offer(nowNanos, limit, number);
    }
  }

  /** Serves a request that arrived from free permits, as far as they go. */
  void serveNow(long nowNanos, PeerRequest request, PermitMessage.LeaseRequest message) {
    for (LimitId id : message.limits()) {
      LimitState limit = context.table.find(id);
      if (limit != null) {
        serveFrom(nowNanos, request, limit, request.wanted);
      }
    }
    int ahead = message.prefetch();
    for (LimitId id : message.limits()) {
      LimitState limit = context.table.find(id);
      if (limit != null && ahead > 0) {
        ahead -= serveFrom(nowNanos, request, limit, Math.min(ahead, limit.available() / 2));
      }
    }
  }

  private int serveFrom(long nowNanos, PeerRequest request, LimitState limit, int most) {
    int served = 0;
    for (int number = 0; number < limit.permits() && served < most; number++) {
      if (limit.isAvailable(number) && serve(request, limit, number, nowNanos)) {
        served++;
      }
    }
    return served;
  }
}
