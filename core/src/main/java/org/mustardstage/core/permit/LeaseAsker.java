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
final class LeaseAsker {
  private static final int MAX_ASKED = 32;
  private static final long RESEND_NANOS = 200_000_000L;
  private static final long MAX_PATIENCE_NANOS = 1_000_000_000L;
  private static final double AHEAD_SECONDS = 0.25;

  private final AgentContext context;
  private final WaitQueue waiters;
  private final PeerRequests peers;
  private final Map<VmIncarnation, Ask> asks = new HashMap<>();
  private boolean isDue;
  private long lastCorrelation;
  private long lastOwnersAskedNanos = Long.MIN_VALUE / 2;

  /** The latest request for leases that was sent to a VM. */
  private static final class Ask {
    long correlationId;
    long sentNanos;
    int wanted;
    Set<LimitId> limits = Set.of();
  }

  /** What the requests that wait need of one VM. */
  private static final class Need {
    final Set<LimitId> limits = new LinkedHashSet<>();
    int wanted;
    long useEndNanos;
    long giveUpNanos;
    ZoneId zone;

    void add(Waiter waiter, LimitState limit, boolean isFirst) {
      limits.add(limit.id);
      zone = limit.zone;
      if (isFirst) {
        wanted++;
        useEndNanos = Math.max(useEndNanos, waiter.useUntilNanos());
        giveUpNanos = Math.max(giveUpNanos, waiter.giveUpNanos());
      }
    }
  }

  LeaseAsker(AgentContext context, WaitQueue waiters, PeerRequests peers) {
    this.context = context;
    this.waiters = waiters;
    this.peers = peers;
  }

  /** Something new waits, or a while has passed. */
  void markDue() {
    isDue = true;
  }

  /** Asks, calls and withdraws as the waiting requests need. */
  void onEventEnd(long nowNanos) {
    if (isDue) {
      isDue = false;
      askAllocators(nowNanos);
      callForIdle(nowNanos);
    } else if (waiters.isEmpty()) {
      withdrawAll(nowNanos);
    }
  }

  /** Asks for what the waiting requests need and was not asked for yet. */
  private void askAllocators(long nowNanos) {
    if (waiters.isEmpty()) {
      withdrawAll(nowNanos);
      return;
    }
    for (Map.Entry<VmIncarnation, Need> entry : needs().entrySet()) {
      Ask ask = asks.computeIfAbsent(entry.getKey(), key -> new Ask());
      Need need = entry.getValue();
      boolean isStale = nowNanos - ask.sentNanos >= RESEND_NANOS;
      if (need.wanted > ask.wanted || !ask.limits.containsAll(need.limits) || isStale) {
        send(entry.getKey(), ask, need, nowNanos);
      }
    }
  }

  private Map<VmIncarnation, Need> needs() {
    Map<VmIncarnation, Need> needs = new LinkedHashMap<>();
    int asked = 0;
    for (Waiter waiter : waiters.all()) {
      if (asked++ >= MAX_ASKED) {
        break;
      }
      addNeeds(waiter, needs);
    }
    return needs;
  }

  private void addNeeds(Waiter waiter, Map<VmIncarnation, Need> needs) {
    Set<VmIncarnation> counted = new LinkedHashSet<>();
    for (LimitId id : waiter.candidates()) {
      LimitState limit = context.table.find(id);
      if (limit != null && limit.allocator != null && !limit.allocator.equals(context.self)) {
        needs
            .computeIfAbsent(limit.allocator, key -> new Need())
            .add(waiter, limit, counted.add(limit.allocator));
      }
    }
  }

  private void send(VmIncarnation to, Ask ask, Need need, long nowNanos) {
    ask.correlationId = ++lastCorrelation;
    ask.sentNanos = nowNanos;
    ask.wanted = need.wanted;
    ask.limits = need.limits;
    long marginNanos = context.settings.deadlineMarginNanos();
    context.outbox.send(
        to,
        new PermitMessage.LeaseRequest(
            ask.correlationId,
            context.marks.mark(nowNanos),
            List.copyOf(need.limits),
            need.wanted,
            aheadOf(need.zone, nowNanos),
            Math.max(1, need.useEndNanos - nowNanos + marginNanos),
            Math.max(1, Math.min(need.giveUpNanos - nowNanos, MAX_PATIENCE_NANOS))));
  }

  private int aheadOf(ZoneId zone, long nowNanos) {
    return (int) Math.ceil(context.remoteUsesPerSecond(zone, nowNanos) * AHEAD_SECONDS);
  }

  private void withdrawAll(long nowNanos) {
    if (asks.isEmpty()) {
      return;
    }
    asks.forEach(
        (peer, ask) -> {
          if (ask.wanted > 0) {
            context.outbox.send(
                peer,
                new PermitMessage.LeaseWithdrawal(ask.correlationId, context.marks.mark(nowNanos)));
          }
        });
    asks.clear();
  }

  /** Takes over that {@code count} permits came in answer to a request. */
  void onAnswer(VmIncarnation from, long correlationId, int count) {
    Ask ask = asks.get(from);
    if (ask != null && ask.correlationId == correlationId) {
      ask.wanted = Math.max(0, ask.wanted - count);
    }
  }

  /** Asks the VMs of the zone when an allocator does not answer. */
  void askOwners(long nowNanos) {
    long waitNanos = context.settings.allocatorTimeoutNanos();
    if (waiters.isEmpty() || nowNanos - lastOwnersAskedNanos < waitNanos) {
      return;
    }
    for (Map.Entry<VmIncarnation, Need> entry : needs().entrySet()) {
      Ask ask = asks.get(entry.getKey());
      boolean isSilent =
          ask != null
              && nowNanos - ask.sentNanos >= waitNanos
              && !context.marks.heardSince(entry.getKey(), ask.sentNanos);
      if (isSilent) {
        lastOwnersAskedNanos = nowNanos;
        askOthers(entry.getKey(), entry.getValue(), nowNanos);
      }
    }
  }

  private void askOthers(VmIncarnation silent, Need need, long nowNanos) {
    for (VmIncarnation vm : context.members.aliveIn(need.zone)) {
      if (!vm.equals(silent) && !vm.equals(context.self)) {
        send(vm, asks.computeIfAbsent(vm, key -> new Ask()), need, nowNanos);
      }
    }
  }

  /** Calls for idle permits of the limits that this VM allocates and for which requests wait. */
  private void callForIdle(long nowNanos) {
    if (waiters.isEmpty() && peers.isEmpty()) {
      return;
    }
    Set<LimitId> missing = new LinkedHashSet<>();
    Set<LimitId> called = new LinkedHashSet<>();
    collectWaits(missing);
    boolean isCallDue = false;
    for (LimitId id : missing) {
      LimitState limit = context.table.find(id);
      if (limit != null && context.self.equals(limit.allocator)) {
        called.add(id);
        isCallDue |= nowNanos - limit.wantedSentNanos >= context.settings.permitsWantedNanos() / 2;
      }
    }
    if (isCallDue) {
      call(called, nowNanos);
    }
  }

  private void collectWaits(Set<LimitId> missing) {
    for (PeerRequests.PeerRequest request : peers.all()) {
      missing.addAll(request.limits);
    }
    int asked = 0;
    for (Waiter waiter : waiters.all()) {
      if (asked++ >= MAX_ASKED) {
        break;
      }
      missing.addAll(waiter.candidates());
    }
  }

  private void call(Set<LimitId> called, long nowNanos) {
    for (LimitId id : called) {
      context.table.find(id).wantedSentNanos = nowNanos;
    }
    PermitMessage message =
        new PermitMessage.PermitsWanted(
            context.marks.mark(nowNanos),
            List.copyOf(called),
            context.settings.permitsWantedNanos());
    for (VmIncarnation vm : context.members.aliveIn(context.zone)) {
      if (!vm.equals(context.self)) {
        context.outbox.send(vm, message);
      }
    }
  }
}
