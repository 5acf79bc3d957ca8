package org.mustardstage.core.permit;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.permit.WaitQueue.Waiter;

/** Asks allocators, and then owners, for permits that requests wait for. */
final class LeaseRequester {
  private static final int MAX_WAITERS_CONSIDERED = 32;
  private static final long RESEND_INTERVAL_NANOS = 200_000_000L;
  private static final long MAX_WAIT_TIMEOUT_NANOS = 1_000_000_000L;
  private static final double PREFETCH_SECONDS = 0.25;

  private final AgentContext context;
  private final WaitQueue waiters;
  private final PeerRequests peers;
  private final Map<VmIncarnation, OpenRequest> openRequests = new HashMap<>();
  private boolean isDue;
  private long lastCorrelationId;
  private long lastOwnerRequestNanos = Long.MIN_VALUE / 2;

  /** The latest request for leases that was sent to a VM. */
  private static final class OpenRequest {
    long correlationId;
    long sentNanos;
    int outstanding;
    Set<LimitId> limits = Set.of();
  }

  /** What the requests that wait need of one VM. */
  private static final class Demand {
    final Set<LimitId> limits = new LinkedHashSet<>();
    int wanted;
    long useDeadlineNanos;
    long waitDeadlineNanos;
    ZoneId zone;

    void add(Waiter waiter, LimitState limit, boolean isFirst) {
      limits.add(limit.id);
      zone = limit.zone;
      if (isFirst) {
        wanted++;
        useDeadlineNanos = Math.max(useDeadlineNanos, waiter.useDeadlineNanos());
        waitDeadlineNanos = Math.max(waitDeadlineNanos, waiter.waitDeadlineNanos());
      }
    }
  }

  LeaseRequester(AgentContext context, WaitQueue waiters, PeerRequests peers) {
    this.context = context;
    this.waiters = waiters;
    this.peers = peers;
  }

  /** Something new waits, or a while has passed. */
  void scheduleRequests() {
    isDue = true;
  }

  /** Asks, calls and withdraws as the waiting requests need. */
  void sendDue(long nowNanos) {
    if (isDue) {
      isDue = false;
      requestFromAllocators(nowNanos);
      requestIdlePermits(nowNanos);
    } else if (waiters.isEmpty()) {
      withdrawAll(nowNanos);
    }
  }

  /** Asks for what the waiting requests need and was not asked for yet. */
  private void requestFromAllocators(long nowNanos) {
    if (waiters.isEmpty()) {
      withdrawAll(nowNanos);
      return;
    }
    for (Map.Entry<VmIncarnation, Demand> entry : collectDemand().entrySet()) {
      OpenRequest ask = openRequests.computeIfAbsent(entry.getKey(), key -> new OpenRequest());
      Demand need = entry.getValue();
      boolean isStale = nowNanos - ask.sentNanos >= RESEND_INTERVAL_NANOS;
      if (need.wanted > ask.outstanding || !ask.limits.containsAll(need.limits) || isStale) {
        send(entry.getKey(), ask, need, nowNanos);
      }
    }
  }

  private Map<VmIncarnation, Demand> collectDemand() {
    Map<VmIncarnation, Demand> needs = new LinkedHashMap<>();
    int asked = 0;
    for (Waiter waiter : waiters.all()) {
      if (asked++ >= MAX_WAITERS_CONSIDERED) {
        break;
      }
      addDemand(waiter, needs);
    }
    return needs;
  }

  private void addDemand(Waiter waiter, Map<VmIncarnation, Demand> needs) {
    Set<VmIncarnation> counted = new LinkedHashSet<>();
    for (LimitId id : waiter.candidates()) {
      LimitState limit = context.limits.find(id);
      if (limit != null && limit.allocator != null && !limit.allocator.equals(context.self)) {
        needs
            .computeIfAbsent(limit.allocator, key -> new Demand())
            .add(waiter, limit, counted.add(limit.allocator));
      }
    }
  }

  private void send(VmIncarnation to, OpenRequest ask, Demand need, long nowNanos) {
    ask.correlationId = ++lastCorrelationId;
    ask.sentNanos = nowNanos;
    ask.outstanding = need.wanted;
    ask.limits = need.limits;
    long marginNanos = context.settings.deadlineMarginNanos();
    context.actions.send(
        to,
        new PermitMessage.LeaseRequest(
            ask.correlationId,
            context.timestamps.currentId(nowNanos),
            List.copyOf(need.limits),
            need.wanted,
            prefetchCount(need.zone, nowNanos),
            Math.max(1, need.useDeadlineNanos - nowNanos + marginNanos),
            Math.max(1, Math.min(need.waitDeadlineNanos - nowNanos, MAX_WAIT_TIMEOUT_NANOS))));
  }

  private int prefetchCount(ZoneId zone, long nowNanos) {
    return (int) Math.ceil(context.remoteUsesPerSecond(zone, nowNanos) * PREFETCH_SECONDS);
  }

  private void withdrawAll(long nowNanos) {
    if (openRequests.isEmpty()) {
      return;
    }
    openRequests.forEach(
        (peer, ask) -> {
          if (ask.outstanding > 0) {
            context.actions.send(
                peer,
                new PermitMessage.LeaseWithdrawal(ask.correlationId, context.timestamps.currentId(nowNanos)));
          }
        });
    openRequests.clear();
  }

  /** Takes over that {@code count} permits came in answer to a request. */
  void recordTransfer(VmIncarnation from, long correlationId, int count) {
    OpenRequest ask = openRequests.get(from);
    if (ask != null && ask.correlationId == correlationId) {
      ask.outstanding = Math.max(0, ask.outstanding - count);
    }
  }

  /** Asks the VMs of the zone when an allocator does not answer. */
  void requestFromOwners(long nowNanos) {
    long waitNanos = context.settings.allocatorTimeoutNanos();
    if (waiters.isEmpty() || nowNanos - lastOwnerRequestNanos < waitNanos) {
      return;
    }
    for (Map.Entry<VmIncarnation, Demand> entry : collectDemand().entrySet()) {
      OpenRequest ask = openRequests.get(entry.getKey());
      boolean isSilent =
          ask != null
              && nowNanos - ask.sentNanos >= waitNanos
              && !context.timestamps.hasReceivedSince(entry.getKey(), ask.sentNanos);
      if (isSilent) {
        lastOwnerRequestNanos = nowNanos;
        requestFromZone(entry.getKey(), entry.getValue(), nowNanos);
      }
    }
  }

  private void requestFromZone(VmIncarnation silent, Demand need, long nowNanos) {
    for (VmIncarnation vm : context.membership.aliveIn(need.zone)) {
      if (!vm.equals(silent) && !vm.equals(context.self)) {
        send(vm, openRequests.computeIfAbsent(vm, key -> new OpenRequest()), need, nowNanos);
      }
    }
  }

  /** Calls for idle permits of the limits that this VM allocates and for which requests wait. */
  private void requestIdlePermits(long nowNanos) {
    if (waiters.isEmpty() && peers.isEmpty()) {
      return;
    }
    Set<LimitId> missing = new LinkedHashSet<>();
    Set<LimitId> called = new LinkedHashSet<>();
    collectWantedLimits(missing);
    boolean isCallDue = false;
    for (LimitId id : missing) {
      LimitState limit = context.limits.find(id);
      if (limit != null && context.self.equals(limit.allocator)) {
        called.add(id);
        isCallDue |= nowNanos - limit.permitsWantedSentNanos >= context.settings.permitsWantedNanos() / 2;
      }
    }
    if (isCallDue) {
      broadcastPermitsWanted(called, nowNanos);
    }
  }

  private void collectWantedLimits(Set<LimitId> missing) {
    for (PeerRequests.PeerRequest request : peers.all()) {
      missing.addAll(request.limits);
    }
    int asked = 0;
    for (Waiter waiter : waiters.all()) {
      if (asked++ >= MAX_WAITERS_CONSIDERED) {
        break;
      }
      missing.addAll(waiter.candidates());
    }
  }

  private void broadcastPermitsWanted(Set<LimitId> called, long nowNanos) {
    for (LimitId id : called) {
      context.limits.find(id).permitsWantedSentNanos = nowNanos;
    }
    PermitMessage message =
        new PermitMessage.PermitsWanted(
            context.timestamps.currentId(nowNanos), List.copyOf(called), context.settings.permitsWantedNanos());
    for (VmIncarnation vm : context.membership.aliveIn(context.zone)) {
      if (!vm.equals(context.self)) {
        context.actions.send(vm, message);
      }
    }
  }
}
