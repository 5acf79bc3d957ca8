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

/**
 * Requests leases for queued requests from the allocators of their limits, and from the other VMs
 * of the zone if an allocator does not respond. For limits that this VM allocates, asks the VMs of
 * the zone for their idle permits.
 */
final class LeaseRequester {
  // Bounds the size of a lease request and the work per event.
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

  /** The latest lease request sent to a VM. */
  private static final class OpenRequest {
    long correlationId;
    long sentNanos;
    int outstanding;
    Set<LimitId> limits = Set.of();
  }

  /** What the queued requests need from one VM. */
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

  /** Schedules lease requests for the end of the current event. */
  void scheduleRequests() {
    isDue = true;
  }

  /**
   * Sends the lease requests and requests for idle permits that were scheduled, or withdraws all
   * lease requests if no request is queued.
   */
  void sendDue(long nowNanos) {
    if (isDue) {
      isDue = false;
      requestFromAllocators(nowNanos);
      requestIdlePermits(nowNanos);
    } else if (waiters.isEmpty()) {
      withdrawAll(nowNanos);
    }
  }

  /**
   * Requests leases from each allocator whose open request does not cover the current demand or is
   * due to be resent.
   */
  private void requestFromAllocators(long nowNanos) {
    if (waiters.isEmpty()) {
      withdrawAll(nowNanos);
      return;
    }
    for (Map.Entry<VmIncarnation, Demand> entry : collectDemand().entrySet()) {
      OpenRequest openRequest =
          openRequests.computeIfAbsent(entry.getKey(), key -> new OpenRequest());
      Demand demand = entry.getValue();
      boolean isStale = nowNanos - openRequest.sentNanos >= RESEND_INTERVAL_NANOS;
      if (demand.wanted > openRequest.outstanding
          || !openRequest.limits.containsAll(demand.limits)
          || isStale) {
        send(entry.getKey(), openRequest, demand, nowNanos);
      }
    }
  }

  private Map<VmIncarnation, Demand> collectDemand() {
    Map<VmIncarnation, Demand> demands = new LinkedHashMap<>();
    int considered = 0;
    for (Waiter waiter : waiters.all()) {
      if (considered++ >= MAX_WAITERS_CONSIDERED) {
        break;
      }
      addDemand(waiter, demands);
    }
    return demands;
  }

  private void addDemand(Waiter waiter, Map<VmIncarnation, Demand> demands) {
    Set<VmIncarnation> counted = new LinkedHashSet<>();
    for (LimitId id : waiter.candidates()) {
      LimitState limit = context.limits.find(id);
      if (limit != null && limit.allocator != null && !limit.allocator.equals(context.self)) {
        demands
            .computeIfAbsent(limit.allocator, key -> new Demand())
            .add(waiter, limit, counted.add(limit.allocator));
      }
    }
  }

  private void send(VmIncarnation to, OpenRequest openRequest, Demand demand, long nowNanos) {
    openRequest.correlationId = ++lastCorrelationId;
    openRequest.sentNanos = nowNanos;
    openRequest.outstanding = demand.wanted;
    openRequest.limits = demand.limits;
    long marginNanos = context.settings.deadlineMarginNanos();
    context.actions.send(
        to,
        new PermitMessage.LeaseRequest(
            openRequest.correlationId,
            context.timestamps.currentId(nowNanos),
            List.copyOf(demand.limits),
            demand.wanted,
            prefetchCount(demand.zone, nowNanos),
            Math.max(1, demand.useDeadlineNanos - nowNanos + marginNanos),
            Math.max(1, Math.min(demand.waitDeadlineNanos - nowNanos, MAX_WAIT_TIMEOUT_NANOS))));
  }

  private int prefetchCount(ZoneId zone, long nowNanos) {
    return (int) Math.ceil(context.remoteUsesPerSecond(zone, nowNanos) * PREFETCH_SECONDS);
  }

  private void withdrawAll(long nowNanos) {
    if (openRequests.isEmpty()) {
      return;
    }
    openRequests.forEach(
        (peer, openRequest) -> {
          if (openRequest.outstanding > 0) {
            context.actions.send(
                peer,
                new PermitMessage.LeaseWithdrawal(
                    openRequest.correlationId, context.timestamps.currentId(nowNanos)));
          }
        });
    openRequests.clear();
  }

  /** Subtracts permits transferred for the open request from its outstanding count. */
  void recordTransfer(VmIncarnation from, long correlationId, int count) {
    OpenRequest openRequest = openRequests.get(from);
    if (openRequest != null && openRequest.correlationId == correlationId) {
      openRequest.outstanding = Math.max(0, openRequest.outstanding - count);
    }
  }

  /** Requests leases from all VMs of a zone if the allocator of a limit does not respond. */
  void requestFromOwners(long nowNanos) {
    long waitNanos = context.settings.allocatorTimeoutNanos();
    if (waiters.isEmpty() || nowNanos - lastOwnerRequestNanos < waitNanos) {
      return;
    }
    for (Map.Entry<VmIncarnation, Demand> entry : collectDemand().entrySet()) {
      OpenRequest openRequest = openRequests.get(entry.getKey());
      boolean isSilent =
          openRequest != null
              && nowNanos - openRequest.sentNanos >= waitNanos
              && !context.timestamps.hasReceivedSince(entry.getKey(), openRequest.sentNanos);
      if (isSilent) {
        lastOwnerRequestNanos = nowNanos;
        requestFromZone(entry.getKey(), entry.getValue(), nowNanos);
      }
    }
  }

  private void requestFromZone(VmIncarnation silent, Demand demand, long nowNanos) {
    for (VmIncarnation vm : context.membership.aliveIn(demand.zone)) {
      if (!vm.equals(silent) && !vm.equals(context.self)) {
        send(vm, openRequests.computeIfAbsent(vm, key -> new OpenRequest()), demand, nowNanos);
      }
    }
  }

  /**
   * Asks the VMs of the zone for idle permits of the limits that this VM allocates and that
   * requests wait for.
   */
  private void requestIdlePermits(long nowNanos) {
    if (waiters.isEmpty() && peers.isEmpty()) {
      return;
    }
    Set<LimitId> wanted = new LinkedHashSet<>();
    Set<LimitId> allocated = new LinkedHashSet<>();
    collectWantedLimits(wanted);
    boolean isDueForAny = false;
    for (LimitId id : wanted) {
      LimitState limit = context.limits.find(id);
      if (limit != null && context.self.equals(limit.allocator)) {
        allocated.add(id);
        isDueForAny |=
            nowNanos - limit.permitsWantedSentNanos >= context.settings.permitsWantedNanos() / 2;
      }
    }
    if (isDueForAny) {
      broadcastPermitsWanted(allocated, nowNanos);
    }
  }

  private void collectWantedLimits(Set<LimitId> wanted) {
    for (PeerRequests.PeerRequest request : peers.all()) {
      wanted.addAll(request.limits);
    }
    int considered = 0;
    for (Waiter waiter : waiters.all()) {
      if (considered++ >= MAX_WAITERS_CONSIDERED) {
        break;
      }
      wanted.addAll(waiter.candidates());
    }
  }

  private void broadcastPermitsWanted(Set<LimitId> allocated, long nowNanos) {
    for (LimitId id : allocated) {
      context.limits.find(id).permitsWantedSentNanos = nowNanos;
    }
    PermitMessage message =
        new PermitMessage.PermitsWanted(
            context.timestamps.currentId(nowNanos),
            List.copyOf(allocated),
            context.settings.permitsWantedNanos());
    for (VmIncarnation vm : context.membership.aliveIn(context.zone)) {
      if (!vm.equals(context.self)) {
        context.actions.send(vm, message);
      }
    }
  }
}
