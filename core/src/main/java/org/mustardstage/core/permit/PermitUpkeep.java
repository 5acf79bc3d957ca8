package org.mustardstage.core.permit;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.permit.PermitMessage.LeaseId;

/** Does what falls due with time: ends of leases and uses, renewals, and where idle permits go. */
final class PermitUpkeep {
  private static final long RENEWAL_ROUND_NANOS = 250_000_000L;
  private static final long ANNOUNCE_NANOS = 200_000_000L;

  private final AgentContext context;
  private final Tenure tenure;
  private final LeaseBook leases;
  private final PermitDispatch dispatch;
  private final WaitQueue waiters;
  private final PeerRequests peers;
  private long nextRenewalNanos = Long.MIN_VALUE;
  private long nextAnnouncementNanos = Long.MIN_VALUE;

  PermitUpkeep(
      AgentContext context,
      Tenure tenure,
      LeaseBook leases,
      PermitDispatch dispatch,
      WaitQueue waiters,
      PeerRequests peers) {
    this.context = context;
    this.tenure = tenure;
    this.leases = leases;
    this.dispatch = dispatch;
    this.waiters = waiters;
    this.peers = peers;
  }

  void onTick(long nowNanos) {
    expire(nowNanos);
    returnIdle(nowNanos);
    if (nowNanos >= nextRenewalNanos) {
      nextRenewalNanos = nowNanos + RENEWAL_ROUND_NANOS;
      renew(nowNanos);
    }
  }

  /** Chooses the allocator of each limit anew. */
  void chooseAllocators() {
    for (LimitState limit : context.table.all()) {
      limit.allocator = AllocatorChoice.allocatorOf(limit.id, context.members.aliveIn(limit.zone));
    }
  }

  /** Sends idle permits no more to a VM that called for them. */
  void forgetCallsOf(VmIncarnation vm) {
    for (LimitState limit : context.table.all()) {
      if (vm.equals(limit.wantedBy)) {
        limit.wantedBy = null;
      }
    }
  }

  /** Ends leases and uses whose time is over, and offers what is free. */
  void expire(long nowNanos) {
    for (LimitState limit : context.table.all()) {
      if (limit.isUntouched()) {
        continue;
      }
      for (int number = 0; number < limit.tracked(); number++) {
        expire(limit, number, nowNanos);
      }
      if (waiters.waitsFor(limit.id) || !peers.isEmpty()) {
        dispatch.offerAll(nowNanos, limit);
      }
    }
  }

  private void expire(LimitState limit, int number, long nowNanos) {
    if (limit.isUsed(number) && nowNanos >= limit.useUntilNanos(number)) {
      dispatch.expireUse(nowNanos, limit, number);
    }
    if (limit.isLeased(number) && nowNanos >= limit.leaseUntilNanos(number)) {
      limit.dropLease(number);
    }
    if (limit.isOut(number) && context.guards.mayReclaim(nowNanos, limit.outUntilNanos(number))) {
      limit.becomeAtHand(number, nowNanos);
    }
  }

  private void returnIdle(long nowNanos) {
    for (LimitState limit : context.table.all()) {
      if (limit.isUntouched()) {
        continue;
      }
      for (int number = 0; number < limit.tracked(); number++) {
        if (!limit.isUsed(number)) {
          returnIfIdle(limit, number, nowNanos);
        }
      }
    }
  }

  private void returnIfIdle(LimitState limit, int number, long nowNanos) {
    if (number >= limit.permits()) {
      if (limit.isLeased(number)) {
        leases.giveBack(limit, number, nowNanos);
      }
      return;
    }
    if (!limit.isAvailable(number) || context.self.equals(limit.allocator)) {
      return;
    }
    long idleNanos = nowNanos - limit.idleSinceNanos(number);
    boolean isRemote = !limit.zone.equals(context.zone) && !limit.isOwned(number);
    if (isRemote) {
      if (idleNanos >= context.settings.remoteIdleReturnNanos()) {
        leases.giveBack(limit, number, nowNanos);
      }
    } else if (limit.allocator != null && idleNanos >= context.settings.idleReturnNanos()) {
      leases.passTo(limit.allocator, 0, nowNanos, limit, number);
    }
  }

  private void renew(long nowNanos) {
    Map<VmIncarnation, List<LeaseId>> byOwner = new LinkedHashMap<>();
    for (LimitState limit : context.table.all()) {
      if (limit.isUntouched()) {
        continue;
      }
      for (int number = 0; number < limit.permits(); number++) {
        if (limit.isLeased(number) && isRenewalDue(limit, number, nowNanos)) {
          VmIncarnation owner = tenure.ownerOf(limit, number, limit.issuer(number));
          byOwner
              .computeIfAbsent(owner, key -> new ArrayList<>())
              .add(new LeaseId(limit.id, number, limit.stamp(number)));
        }
      }
    }
    byOwner.remove(context.self);
    byOwner.forEach(
        (owner, names) ->
            context.outbox.send(
                owner, new PermitMessage.LeaseRenewal(context.marks.mark(nowNanos), names)));
  }

  private boolean isRenewalDue(LimitState limit, int number, long nowNanos) {
    PermitSettings settings = context.settings;
    long beforeNanos =
        limit.zone.equals(context.zone)
            ? settings.renewBeforeNanos()
            : Math.min(settings.renewBeforeNanos(), settings.remoteLeaseDurationNanos() * 3 / 4);
    return limit.leaseUntilNanos(number) - nowNanos < beforeNanos;
  }

  /** Tells the VMs of the zone that this one is stopping, and gives leases back. */
  void announceStop(long nowNanos) {
    for (LimitState limit : context.table.all()) {
      for (int number = 0; number < limit.tracked(); number++) {
        if (limit.isLeased(number) && !limit.isUsed(number)) {
          leases.giveBack(limit, number, nowNanos);
        }
      }
    }
    if (nowNanos >= nextAnnouncementNanos) {
      nextAnnouncementNanos = nowNanos + ANNOUNCE_NANOS;
      PermitMessage message = new PermitMessage.StopAnnounced(context.marks.mark(nowNanos));
      for (VmIncarnation vm : context.members.aliveIn(context.zone)) {
        context.outbox.send(vm, message);
      }
    }
  }

  /** Returns whether this VM holds and uses no permit. */
  boolean isEmptyHanded() {
    for (LimitState limit : context.table.all()) {
      if (!limit.isUntouched()) {
        return false;
      }
    }
    return true;
  }
}
