package org.mustardstage.core.permit;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.permit.PermitMessage.LeaseId;
import org.mustardstage.core.permit.PermitMessage.LeasedPermit;

/** Issues, passes on, returns and prolongs leases. What one event moves goes in one message. */
final class LeaseManager {
  private final AgentContext context;
  private final OwnershipView ownership;
  private final Map<VmIncarnation, List<LeasedPermit>> transfers = new LinkedHashMap<>();
  private final Map<VmIncarnation, Long> correlationIds = new LinkedHashMap<>();
  private final Map<VmIncarnation, List<LeaseId>> returns = new LinkedHashMap<>();

  /** Who owns what, as leases need to know it. */
  interface OwnershipView {
    /** Returns whether this VM may grant and lease the permit as its owner. */
    boolean mayUse(LimitState limit, int number, long nowNanos);

    /** Returns the revision of the ownership list of the zone of the limit. */
    long revisionOf(LimitState limit);

    /** Returns the owner of the permit, or {@code issuer} when it is not known. */
    VmIncarnation ownerOf(LimitState limit, int number, VmIncarnation issuer);
  }

  LeaseManager(AgentContext context, OwnershipView ownership) {
    this.context = context;
    this.ownership = ownership;
  }

  /** Returns whether the permit is free here for a use that ends at {@code useEndNanos}. */
  boolean isUsable(long nowNanos, LimitState limit, int number, long useEndNanos) {
    if (!limit.isAvailable(number)) {
      return false;
    }
    if (limit.holdsLease(number)) {
      return context.guards.leaseCovers(limit.leaseExpiryNanos(number), useEndNanos);
    }
    return ownership.mayUse(limit, number, nowNanos);
  }

  /** Returns a permit that is free here for the use, or -1. */
  int findUsable(long nowNanos, LimitState limit, long useEndNanos) {
    if (limit.availableCount() == 0) {
      return -1;
    }
    for (int number = 0; number < limit.permitCount(); number++) {
      if (isUsable(nowNanos, limit, number, useEndNanos)) {
        return number;
      }
    }
    return -1;
  }

  /** Passes a free permit to {@code peer} and returns whether it went. */
  boolean transferTo(
      VmIncarnation peer, long correlationId, long nowNanos, LimitState limit, int number) {
    if (limit.holdsLease(number)) {
      return transferLease(peer, correlationId, limit, number, nowNanos);
    }
    TimestampRegistry.PeerTimestamp mark = recentTimestamp(peer, nowNanos);
    if (mark == null || !ownership.mayUse(limit, number, nowNanos)) {
      return false;
    }
    long untilNanos = nowNanos + leaseDurationNanosFor(peer, limit);
    long stamp = limit.nextToken(number, FencingTokens.floorOf(ownership.revisionOf(limit)));
    limit.setIssuedToken(number, stamp);
    limit.raiseLatestToken(number, stamp);
    limit.markLeasedOut(number, untilNanos);
    addTransfer(
        peer, correlationId, limit, number, context.self, untilNanos - mark.receivedNanos());
    return true;
  }

  private boolean transferLease(
      VmIncarnation peer, long correlationId, LimitState limit, int number, long nowNanos) {
    VmIncarnation issuer = limit.issuer(number);
    if (issuer.equals(peer) || !FencingTokens.mayTransfer(limit.latestToken(number))) {
      returnLease(limit, number, nowNanos);
      return issuer.equals(peer);
    }
    TimestampRegistry.PeerTimestamp mark = recentTimestamp(peer, nowNanos);
    if (mark == null) {
      return false;
    }
    long durationNanos = limit.leaseExpiryNanos(number) - mark.receivedNanos();
    limit.raiseLatestToken(number, FencingTokens.afterTransfer(limit.latestToken(number)));
    limit.dropLease(number);
    addTransfer(peer, correlationId, limit, number, issuer, durationNanos);
    return true;
  }

  private TimestampRegistry.PeerTimestamp recentTimestamp(VmIncarnation peer, long nowNanos) {
    TimestampRegistry.PeerTimestamp mark = context.timestamps.latestFrom(peer);
    boolean isRecent =
        mark != null && nowNanos - mark.receivedNanos() < context.settings.leaseDurationNanos() / 2;
    return isRecent ? mark : null;
  }

  private long leaseDurationNanosFor(VmIncarnation peer, LimitState limit) {
    boolean isLocal = context.membership.isIn(peer, limit.zone);
    return isLocal ? context.settings.leaseDurationNanos() : context.settings.remoteLeaseDurationNanos();
  }

  private void addTransfer(
      VmIncarnation peer,
      long correlationId,
      LimitState limit,
      int number,
      VmIncarnation issuer,
      long durationNanos) {
    if (correlationId != 0) {
      correlationIds.put(peer, correlationId);
    }
    transfers
        .computeIfAbsent(peer, key -> new ArrayList<>())
        .add(new LeasedPermit(limit.id, number, limit.latestToken(number), issuer, durationNanos));
  }

  /** Gives a lease back to the owner. */
  void returnLease(LimitState limit, int number, long nowNanos) {
    VmIncarnation owner = ownership.ownerOf(limit, number, limit.issuer(number));
    LeaseId name = new LeaseId(limit.id, number, limit.latestToken(number));
    limit.dropLease(number);
    if (owner.equals(context.self)) {
      acceptReturn(nowNanos, context.self, name);
    } else {
      returns.computeIfAbsent(owner, key -> new ArrayList<>()).add(name);
    }
  }

  /** Takes over a returned lease; returns whether its permit is now at hand here. */
  boolean acceptReturn(long nowNanos, VmIncarnation from, LeaseId name) {
    LimitState limit = context.limits.find(name.limit());
    if (limit == null || name.number() < 0 || name.number() >= limit.trackedCount()) {
      return false;
    }
    if (!limit.isOwned(name.number())) {
      forwardReturn(from, limit, name);
      return false;
    }
    if (!limit.isBlocked(name.number())
        || !context.guards.isCurrentLease(name.fencingToken(), limit.issuedToken(name.number()))) {
      return false;
    }
    limit.markHeldByOwner(name.number(), nowNanos);
    return true;
  }

  private void forwardReturn(VmIncarnation from, LimitState limit, LeaseId name) {
    VmIncarnation owner = ownership.ownerOf(limit, name.number(), context.self);
    if (!owner.equals(context.self) && !owner.equals(from)) {
      returns.computeIfAbsent(owner, key -> new ArrayList<>()).add(name);
    }
  }

  /** Takes over a lease that arrived; returns whether its permit is now held here. */
  boolean acceptTransfer(long nowNanos, VmIncarnation from, long countedFromNanos, LeasedPermit lease) {
    LimitState limit = context.limits.find(lease.limit());
    int number = lease.number();
    if (limit == null || number < 0 || number >= limit.permitCount()) {
      return false;
    }
    if (lease.owner().equals(context.self)) {
      return acceptReturn(nowNanos, from, new LeaseId(lease.limit(), number, lease.fencingToken()));
    }
    long untilNanos =
        context.guards.leaseExpiryNanos(context.settings, countedFromNanos, lease.durationNanos());
    if (untilNanos <= nowNanos
        || !context.guards.acceptsLease(lease.fencingToken(), limit.latestToken(number))) {
      return false;
    }
    limit.holdLease(number, untilNanos, lease.fencingToken(), lease.owner(), nowNanos);
    return true;
  }

  /** Prolongs leases that this VM issued and answers their lessee. */
  void renew(long nowNanos, VmIncarnation lessee, PermitMessage.LeaseRenewal renewal) {
    List<LeasedPermit> prolonged = new ArrayList<>();
    for (LeaseId name : renewal.leases()) {
      LimitState limit = context.limits.find(name.limit());
      if (limit == null || !mayRenew(limit, name, nowNanos)) {
        continue;
      }
      long durationNanos = leaseDurationNanosFor(lessee, limit);
      limit.extendBlock(name.number(), nowNanos + durationNanos);
      prolonged.add(
          new LeasedPermit(name.limit(), name.number(), name.fencingToken(), context.self, durationNanos));
    }
    if (!prolonged.isEmpty()) {
      context.actions.send(
          lessee,
          new PermitMessage.LeaseRenewed(
              context.timestamps.currentId(nowNanos), renewal.timestampId(), prolonged));
    }
  }

  private boolean mayRenew(LimitState limit, LeaseId name, long nowNanos) {
    int number = name.number();
    return number >= 0
        && context.guards.isWithinLimit(number, limit.permitCount())
        && limit.isBlocked(number)
        && context.guards.isCurrentLease(name.fencingToken(), limit.issuedToken(number))
        && ownership.mayUse(limit, number, nowNanos);
  }

  /** Takes over that leases held here were prolonged. */
  void applyRenewals(PermitMessage.LeaseRenewed renewed) {
    long countedFromNanos = context.timestamps.timeOf(renewed.baseTimestampId());
    if (countedFromNanos == TimestampRegistry.UNKNOWN) {
      return;
    }
    for (LeasedPermit lease : renewed.permits()) {
      LimitState limit = context.limits.find(lease.limit());
      int number = lease.number();
      if (limit != null
          && number >= 0
          && number < limit.trackedCount()
          && limit.holdsLease(number)
          && FencingTokens.isSameLease(lease.fencingToken(), limit.latestToken(number))) {
        limit.extendLease(
            number,
            context.guards.leaseExpiryNanos(context.settings, countedFromNanos, lease.durationNanos()));
      }
    }
  }

  /** Sends what the present event passes on or returns. */
  void sendPending(long nowNanos) {
    if (!transfers.isEmpty()) {
      transfers.forEach((peer, permits) -> sendTransfer(peer, permits, nowNanos));
      transfers.clear();
      correlationIds.clear();
    }
    if (!returns.isEmpty()) {
      long mark = context.timestamps.currentId(nowNanos);
      returns.forEach(
          (peer, names) -> context.actions.send(peer, new PermitMessage.LeaseReturn(mark, names)));
      returns.clear();
    }
  }

  private void sendTransfer(VmIncarnation peer, List<LeasedPermit> permits, long nowNanos) {
    context.actions.send(
        peer,
        new PermitMessage.LeaseTransfer(
            correlationIds.getOrDefault(peer, 0L),
            context.timestamps.currentId(nowNanos),
            context.timestamps.latestFrom(peer).id(),
            permits));
  }
}
