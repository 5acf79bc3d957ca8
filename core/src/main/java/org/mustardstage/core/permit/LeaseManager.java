package org.mustardstage.core.permit;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.permit.PermitMessage.LeaseId;
import org.mustardstage.core.permit.PermitMessage.LeasedPermit;

/**
 * Issues, transfers, returns and renews leases. Collects the transfers and returns of one event,
 * and sends each VM at most one message of each kind.
 */
final class LeaseManager {
  private final AgentContext context;
  private final OwnershipView ownership;
  private final Map<VmIncarnation, List<LeasedPermit>> transfers = new LinkedHashMap<>();
  private final Map<VmIncarnation, Long> correlationIds = new LinkedHashMap<>();
  private final Map<VmIncarnation, List<LeaseId>> returns = new LinkedHashMap<>();

  /** The ownership state that decisions on leases depend on. */
  interface OwnershipView {
    /** Returns whether this VM, as the owner of the permit, may grant and lease it. */
    boolean mayUse(LimitState limit, int number, long nowNanos);

    /** Returns the revision of the ownership list of the limit's zone. */
    long revisionOf(LimitState limit);

    /** Returns the owner of the permit, or {@code issuer} if it is not known. */
    VmIncarnation ownerOf(LimitState limit, int number, VmIncarnation issuer);
  }

  LeaseManager(AgentContext context, OwnershipView ownership) {
    this.context = context;
    this.ownership = ownership;
  }

  /**
   * Returns whether the permit is available here and stays so until {@code useExpiryNanos}: by a
   * lease that lasts as long, or by ownership.
   */
  boolean isUsable(long nowNanos, LimitState limit, int number, long useExpiryNanos) {
    if (!limit.isAvailable(number)) {
      return false;
    }
    if (limit.holdsLease(number)) {
      return context.guards.leaseCovers(limit.leaseExpiryNanos(number), useExpiryNanos);
    }
    return ownership.mayUse(limit, number, nowNanos);
  }

  /** Returns the number of a permit that is usable until {@code useExpiryNanos}, or -1. */
  int findUsable(long nowNanos, LimitState limit, long useExpiryNanos) {
    if (limit.availableCount() == 0) {
      return -1;
    }
    for (int number = 0; number < limit.permits(); number++) {
      if (isUsable(nowNanos, limit, number, useExpiryNanos)) {
        return number;
      }
    }
    return -1;
  }

  /**
   * Transfers an available permit to {@code peer}: issues a lease if this VM owns it, else
   * transfers the lease held here. Returns false if the peer does not get it, which includes a
   * lease that goes back to its owner because it can't be transferred again.
   */
  boolean transferTo(
      VmIncarnation peer, long correlationId, long nowNanos, LimitState limit, int number) {
    if (limit.holdsLease(number)) {
      return transferLease(peer, correlationId, limit, number, nowNanos);
    }
    TimestampRegistry.PeerTimestamp timestamp = recentTimestamp(peer, nowNanos);
    if (timestamp == null || !ownership.mayUse(limit, number, nowNanos)) {
      return false;
    }
    long expiryNanos = nowNanos + leaseDurationNanosFor(peer, limit);
    long token = limit.nextToken(number, FencingTokens.floorOf(ownership.revisionOf(limit)));
    limit.setIssuedToken(number, token);
    limit.raiseLatestToken(number, token);
    limit.markLeasedOut(number, expiryNanos);
    addTransfer(
        peer, correlationId, limit, number, context.self, expiryNanos - timestamp.receivedNanos());
    return true;
  }

  private boolean transferLease(
      VmIncarnation peer, long correlationId, LimitState limit, int number, long nowNanos) {
    VmIncarnation issuer = limit.issuer(number);
    if (issuer.equals(peer) || !FencingTokens.mayTransfer(limit.latestToken(number))) {
      returnLease(limit, number, nowNanos);
      return issuer.equals(peer);
    }
    TimestampRegistry.PeerTimestamp timestamp = recentTimestamp(peer, nowNanos);
    if (timestamp == null) {
      return false;
    }
    long durationNanos = limit.leaseExpiryNanos(number) - timestamp.receivedNanos();
    limit.raiseLatestToken(number, FencingTokens.afterTransfer(limit.latestToken(number)));
    limit.dropLease(number);
    addTransfer(peer, correlationId, limit, number, issuer, durationNanos);
    return true;
  }

  private TimestampRegistry.PeerTimestamp recentTimestamp(VmIncarnation peer, long nowNanos) {
    TimestampRegistry.PeerTimestamp timestamp = context.timestamps.latestFrom(peer);
    boolean isRecent =
        timestamp != null
            && nowNanos - timestamp.receivedNanos() < context.settings.leaseDurationNanos() / 2;
    return isRecent ? timestamp : null;
  }

  private long leaseDurationNanosFor(VmIncarnation peer, LimitState limit) {
    boolean isLocal = context.membership.isIn(peer, limit.zone);
    return isLocal
        ? context.settings.leaseDurationNanos()
        : context.settings.remoteLeaseDurationNanos();
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

  /** Returns a lease to the owner of its permit. */
  void returnLease(LimitState limit, int number, long nowNanos) {
    VmIncarnation owner = ownership.ownerOf(limit, number, limit.issuer(number));
    LeaseId id = new LeaseId(limit.id, number, limit.latestToken(number));
    limit.dropLease(number);
    if (owner.equals(context.self)) {
      acceptReturn(nowNanos, context.self, id);
    } else {
      returns.computeIfAbsent(owner, key -> new ArrayList<>()).add(id);
    }
  }

  /**
   * Ends a lease that its lessee returned, and returns whether the permit is now held by this VM,
   * its owner. Forwards the return to the current owner if that is another VM.
   */
  boolean acceptReturn(long nowNanos, VmIncarnation from, LeaseId id) {
    LimitState limit = context.limits.find(id.limit());
    if (limit == null || id.number() < 0 || id.number() >= limit.trackedCount()) {
      return false;
    }
    if (!limit.isOwned(id.number())) {
      forwardReturn(from, limit, id);
      return false;
    }
    if (!limit.isBlocked(id.number())
        || !context.guards.isCurrentLease(id.fencingToken(), limit.issuedToken(id.number()))) {
      return false;
    }
    limit.markHeldByOwner(id.number(), nowNanos);
    return true;
  }

  private void forwardReturn(VmIncarnation from, LimitState limit, LeaseId id) {
    VmIncarnation owner = ownership.ownerOf(limit, id.number(), context.self);
    if (!owner.equals(context.self) && !owner.equals(from)) {
      returns.computeIfAbsent(owner, key -> new ArrayList<>()).add(id);
    }
  }

  /**
   * Records a lease that was transferred to this VM, or ends it if this VM issued it. Returns
   * whether the permit is now held here.
   */
  boolean acceptTransfer(
      long nowNanos, VmIncarnation from, long countedFromNanos, LeasedPermit lease) {
    LimitState limit = context.limits.find(lease.limit());
    int number = lease.number();
    if (limit == null || number < 0 || number >= limit.permits()) {
      return false;
    }
    if (lease.owner().equals(context.self)) {
      return acceptReturn(nowNanos, from, new LeaseId(lease.limit(), number, lease.fencingToken()));
    }
    long expiryNanos =
        context.guards.leaseExpiryNanos(context.settings, countedFromNanos, lease.durationNanos());
    if (expiryNanos <= nowNanos
        || !context.guards.acceptsLease(lease.fencingToken(), limit.latestToken(number))) {
      return false;
    }
    limit.holdLease(number, expiryNanos, lease.fencingToken(), lease.owner(), nowNanos);
    return true;
  }

  /**
   * Renews leases that this VM issued, or that an earlier owner issued before a handover, and
   * responds to their lessee.
   */
  void renew(long nowNanos, VmIncarnation lessee, PermitMessage.LeaseRenewal renewal) {
    List<LeasedPermit> renewedLeases = new ArrayList<>();
    for (LeaseId id : renewal.leases()) {
      LimitState limit = context.limits.find(id.limit());
      if (limit == null || !mayRenew(limit, id, nowNanos)) {
        continue;
      }
      long durationNanos = leaseDurationNanosFor(lessee, limit);
      limit.extendBlock(id.number(), nowNanos + durationNanos);
      renewedLeases.add(
          new LeasedPermit(
              id.limit(), id.number(), id.fencingToken(), context.self, durationNanos));
    }
    if (!renewedLeases.isEmpty()) {
      context.actions.send(
          lessee,
          new PermitMessage.LeaseRenewed(
              context.timestamps.currentId(nowNanos), renewal.timestampId(), renewedLeases));
    }
  }

  private boolean mayRenew(LimitState limit, LeaseId id, long nowNanos) {
    int number = id.number();
    return number >= 0
        && context.guards.isWithinLimit(number, limit.permits())
        && limit.isBlocked(number)
        && context.guards.isCurrentLease(id.fencingToken(), limit.issuedToken(number))
        && ownership.mayUse(limit, number, nowNanos);
  }

  /** Extends the leases held here that their owner renewed. */
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
            context.guards.leaseExpiryNanos(
                context.settings, countedFromNanos, lease.durationNanos()));
      }
    }
  }

  /** Sends the transfers and returns collected during the current event. */
  void sendPending(long nowNanos) {
    if (!transfers.isEmpty()) {
      transfers.forEach((peer, permits) -> sendTransfer(peer, permits, nowNanos));
      transfers.clear();
      correlationIds.clear();
    }
    if (!returns.isEmpty()) {
      long timestampId = context.timestamps.currentId(nowNanos);
      returns.forEach(
          (peer, ids) ->
              context.actions.send(peer, new PermitMessage.LeaseReturn(timestampId, ids)));
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
