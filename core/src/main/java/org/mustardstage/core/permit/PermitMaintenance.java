package org.mustardstage.core.permit;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.permit.PermitMessage.LeaseId;

/** Runs the periodic tasks: expires leases and uses, requests renewals and moves idle permits. */
final class PermitMaintenance {
  private static final long RENEWAL_INTERVAL_NANOS = 250_000_000L;
  private static final long ANNOUNCEMENT_INTERVAL_NANOS = 200_000_000L;

  private final AgentContext context;
  private final OwnershipTracker tracker;
  private final LeaseManager leases;
  private final PermitDispatcher dispatcher;
  private final WaitQueue waiters;
  private final PeerRequests peers;
  private long nextRenewalNanos = Long.MIN_VALUE;
  private long nextAnnouncementNanos = Long.MIN_VALUE;

  PermitMaintenance(
      AgentContext context,
      OwnershipTracker tracker,
      LeaseManager leases,
      PermitDispatcher dispatcher,
      WaitQueue waiters,
      PeerRequests peers) {
    this.context = context;
    this.tracker = tracker;
    this.leases = leases;
    this.dispatcher = dispatcher;
    this.waiters = waiters;
    this.peers = peers;
  }

  void runDueTasks(long nowNanos) {
    expire(nowNanos);
    returnIdle(nowNanos);
    if (nowNanos >= nextRenewalNanos) {
      nextRenewalNanos = nowNanos + RENEWAL_INTERVAL_NANOS;
      requestRenewals(nowNanos);
    }
  }

  /** Selects the allocator of each limit again. */
  void selectAllocators() {
    for (LimitState limit : context.limits.all()) {
      limit.allocator = AllocatorSelector.select(limit.id, context.membership.aliveIn(limit.zone));
    }
  }

  /** Stops sending idle permits to a VM that asked for them. */
  void clearPermitsWantedBy(VmIncarnation vm) {
    for (LimitState limit : context.limits.all()) {
      if (vm.equals(limit.permitsWantedBy)) {
        limit.permitsWantedBy = null;
      }
    }
  }

  /** Ends the leases and uses that have expired, and offers the available permits. */
  void expire(long nowNanos) {
    for (LimitState limit : context.limits.all()) {
      if (limit.isInactive()) {
        continue;
      }
      for (int number = 0; number < limit.trackedCount(); number++) {
        expire(limit, number, nowNanos);
      }
      if (waiters.hasWaiterFor(limit.id) || !peers.isEmpty()) {
        dispatcher.offerAll(nowNanos, limit);
      }
    }
  }

  private void expire(LimitState limit, int number, long nowNanos) {
    if (limit.isInUse(number) && nowNanos >= limit.useExpiryNanos(number)) {
      dispatcher.expireUse(nowNanos, limit, number);
    }
    if (limit.holdsLease(number) && nowNanos >= limit.leaseExpiryNanos(number)) {
      limit.dropLease(number);
    }
    if (limit.isBlocked(number)
        && context.guards.mayReclaim(nowNanos, limit.blockedUntilNanos(number))) {
      limit.markHeldByOwner(number, nowNanos);
    }
  }

  private void returnIdle(long nowNanos) {
    for (LimitState limit : context.limits.all()) {
      if (limit.isInactive()) {
        continue;
      }
      for (int number = 0; number < limit.trackedCount(); number++) {
        if (!limit.isInUse(number)) {
          returnIfIdle(limit, number, nowNanos);
        }
      }
    }
  }

  private void returnIfIdle(LimitState limit, int number, long nowNanos) {
    if (number >= limit.permits()) {
      if (limit.holdsLease(number)) {
        leases.returnLease(limit, number, nowNanos);
      }
      return;
    }
    if (!limit.isAvailable(number) || context.self.equals(limit.allocator)) {
      return;
    }
    long idleNanos = nowNanos - limit.idleSinceNanos(number);
    boolean isRemoteLease = !limit.zone.equals(context.zone) && !limit.isOwned(number);
    if (isRemoteLease) {
      if (idleNanos >= context.settings.remoteIdleReturnNanos()) {
        leases.returnLease(limit, number, nowNanos);
      }
    } else if (limit.allocator != null && idleNanos >= context.settings.idleReturnNanos()) {
      leases.transferTo(limit.allocator, 0, nowNanos, limit, number);
    }
  }

  private void requestRenewals(long nowNanos) {
    Map<VmIncarnation, List<LeaseId>> byOwner = new LinkedHashMap<>();
    for (LimitState limit : context.limits.all()) {
      if (limit.isInactive()) {
        continue;
      }
      for (int number = 0; number < limit.permits(); number++) {
        if (limit.holdsLease(number) && isRenewalDue(limit, number, nowNanos)) {
          VmIncarnation owner = tracker.ownerOf(limit, number, limit.issuer(number));
          byOwner
              .computeIfAbsent(owner, key -> new ArrayList<>())
              .add(new LeaseId(limit.id, number, limit.latestToken(number)));
        }
      }
    }
    byOwner.remove(context.self);
    byOwner.forEach(
        (owner, ids) ->
            context.actions.send(
                owner,
                new PermitMessage.LeaseRenewal(context.timestamps.currentId(nowNanos), ids)));
  }

  private boolean isRenewalDue(LimitState limit, int number, long nowNanos) {
    PermitSettings settings = context.settings;
    long renewBeforeNanos =
        limit.zone.equals(context.zone)
            ? settings.renewBeforeNanos()
            : Math.min(settings.renewBeforeNanos(), settings.remoteLeaseDurationNanos() * 3 / 4);
    return limit.leaseExpiryNanos(number) - nowNanos < renewBeforeNanos;
  }

  /**
   * Returns the leases that are not in use, and periodically announces to the VMs of the zone that
   * this one is stopping.
   */
  void announceStop(long nowNanos) {
    for (LimitState limit : context.limits.all()) {
      for (int number = 0; number < limit.trackedCount(); number++) {
        if (limit.holdsLease(number) && !limit.isInUse(number)) {
          leases.returnLease(limit, number, nowNanos);
        }
      }
    }
    if (nowNanos >= nextAnnouncementNanos) {
      nextAnnouncementNanos = nowNanos + ANNOUNCEMENT_INTERVAL_NANOS;
      PermitMessage message =
          new PermitMessage.StopAnnounced(context.timestamps.currentId(nowNanos));
      for (VmIncarnation vm : context.membership.aliveIn(context.zone)) {
        context.actions.send(vm, message);
      }
    }
  }

  /** Returns whether this VM owns, holds and uses no permit. */
  boolean hasNoPermits() {
    for (LimitState limit : context.limits.all()) {
      if (!limit.isInactive()) {
        return false;
      }
    }
    return true;
  }
}
