package org.mustardstage.core.permit;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.permit.PermitMessage.LeaseId;
import org.mustardstage.core.permit.PermitMessage.LeasedPermit;

/** Issues, passes on, returns and prolongs leases. What one event moves goes in one message. */
final class LeaseBook {
  private final AgentContext context;
  private final OwnershipView ownership;
  private final Map<VmIncarnation, List<LeasedPermit>> transfers = new LinkedHashMap<>();
  private final Map<VmIncarnation, Long> correlations = new LinkedHashMap<>();
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

  LeaseBook(AgentContext context, OwnershipView ownership) {
    this.context = context;
    this.ownership = ownership;
  }

  /** Returns whether the permit is free here for a use that ends at {@code useEndNanos}. */
  boolean covers(long nowNanos, LimitState limit, int number, long useEndNanos) {
    if (!limit.isAvailable(number)) {
      return false;
    }
    if (limit.isLeased(number)) {
      return context.guards.leaseCovers(limit.leaseUntilNanos(number), useEndNanos);
    }
    return ownership.mayUse(limit, number, nowNanos);
  }

  /** Returns a permit that is free here for the use, or -1. */
  int findFor(long nowNanos, LimitState limit, long useEndNanos) {
    if (limit.available() == 0) {
      return -1;
    }
    for (int number = 0; number < limit.permits(); number++) {
      if (covers(nowNanos, limit, number, useEndNanos)) {
        return number;
      }
    }
    return -1;
  }

  /** Passes a free permit to {@code peer} and returns whether it went. */
  boolean passTo(
      VmIncarnation peer, long correlationId, long nowNanos, LimitState limit, int number) {
    if (limit.isLeased(number)) {
      return passOn(peer, correlationId, limit, number, nowNanos);
    }
    ClockMarks.PeerMark mark = usableMark(peer, nowNanos);
    if (mark == null || !ownership.mayUse(limit, number, nowNanos)) {
      return false;
    }
    long untilNanos = nowNanos + leaseNanosFor(peer, limit);
    long stamp = limit.nextStamp(number, Stamps.firstOf(ownership.revisionOf(limit)));
    limit.setIssuedStamp(number, stamp);
    limit.raiseStamp(number, stamp);
    limit.becomeLeasedOut(number, untilNanos);
    addTransfer(
        peer, correlationId, limit, number, context.self, untilNanos - mark.receivedNanos());
    return true;
  }

  private boolean passOn(
      VmIncarnation peer, long correlationId, LimitState limit, int number, long nowNanos) {
    VmIncarnation issuer = limit.issuer(number);
    if (issuer.equals(peer) || !Stamps.mayPassOn(limit.stamp(number))) {
      giveBack(limit, number, nowNanos);
      return issuer.equals(peer);
    }
    ClockMarks.PeerMark mark = usableMark(peer, nowNanos);
    if (mark == null) {
      return false;
    }
    long durationNanos = limit.leaseUntilNanos(number) - mark.receivedNanos();
    limit.raiseStamp(number, Stamps.passedOn(limit.stamp(number)));
    limit.dropLease(number);
    addTransfer(peer, correlationId, limit, number, issuer, durationNanos);
    return true;
  }

  private ClockMarks.PeerMark usableMark(VmIncarnation peer, long nowNanos) {
    ClockMarks.PeerMark mark = context.marks.latestOf(peer);
    boolean isRecent =
        mark != null && nowNanos - mark.receivedNanos() < context.settings.leaseDurationNanos() / 2;
    return isRecent ? mark : null;
  }

  private long leaseNanosFor(VmIncarnation peer, LimitState limit) {
    boolean isLocal = context.members.isIn(peer, limit.zone);
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
      correlations.put(peer, correlationId);
    }
    transfers
        .computeIfAbsent(peer, key -> new ArrayList<>())
        .add(new LeasedPermit(limit.id, number, limit.stamp(number), issuer, durationNanos));
  }

  /** Gives a lease back to the owner. */
  void giveBack(LimitState limit, int number, long nowNanos) {
    VmIncarnation owner = ownership.ownerOf(limit, number, limit.issuer(number));
    LeaseId name = new LeaseId(limit.id, number, limit.stamp(number));
    limit.dropLease(number);
    if (owner.equals(context.self)) {
      takeBack(nowNanos, context.self, name);
    } else {
      returns.computeIfAbsent(owner, key -> new ArrayList<>()).add(name);
    }
  }

  /** Takes over a returned lease; returns whether its permit is now at hand here. */
  boolean takeBack(long nowNanos, VmIncarnation from, LeaseId name) {
    LimitState limit = context.table.find(name.limit());
    if (limit == null || name.number() < 0 || name.number() >= limit.tracked()) {
      return false;
    }
    if (!limit.isOwned(name.number())) {
      forward(from, limit, name);
      return false;
    }
    if (!limit.isOut(name.number())
        || !context.guards.isLeaseInForce(name.fencingToken(), limit.issuedStamp(name.number()))) {
      return false;
    }
    limit.becomeAtHand(name.number(), nowNanos);
    return true;
  }

  private void forward(VmIncarnation from, LimitState limit, LeaseId name) {
    VmIncarnation owner = ownership.ownerOf(limit, name.number(), context.self);
    if (!owner.equals(context.self) && !owner.equals(from)) {
      returns.computeIfAbsent(owner, key -> new ArrayList<>()).add(name);
    }
  }

  /** Takes over a lease that arrived; returns whether its permit is now held here. */
  boolean accept(long nowNanos, VmIncarnation from, long countedFromNanos, LeasedPermit lease) {
    LimitState limit = context.table.find(lease.limit());
    int number = lease.number();
    if (limit == null || number < 0 || number >= limit.permits()) {
      return false;
    }
    if (lease.owner().equals(context.self)) {
      return takeBack(nowNanos, from, new LeaseId(lease.limit(), number, lease.fencingToken()));
    }
    long untilNanos =
        context.guards.leaseEnd(context.settings, countedFromNanos, lease.durationNanos());
    if (untilNanos <= nowNanos
        || !context.guards.acceptsLease(lease.fencingToken(), limit.stamp(number))) {
      return false;
    }
    limit.hold(number, untilNanos, lease.fencingToken(), lease.owner(), nowNanos);
    return true;
  }

  /** Prolongs leases that this VM issued and answers their lessee. */
  void prolong(long nowNanos, VmIncarnation lessee, PermitMessage.LeaseRenewal renewal) {
    List<LeasedPermit> prolonged = new ArrayList<>();
    for (LeaseId name : renewal.leases()) {
      LimitState limit = context.table.find(name.limit());
      if (limit == null || !mayProlong(limit, name, nowNanos)) {
        continue;
      }
      long durationNanos = leaseNanosFor(lessee, limit);
      limit.prolongOut(name.number(), nowNanos + durationNanos);
      prolonged.add(
          new LeasedPermit(
              name.limit(), name.number(), name.fencingToken(), context.self, durationNanos));
    }
    if (!prolonged.isEmpty()) {
      context.outbox.send(
          lessee,
          new PermitMessage.LeaseRenewed(
              context.marks.mark(nowNanos), renewal.timestampId(), prolonged));
    }
  }

  private boolean mayProlong(LimitState limit, LeaseId name, long nowNanos) {
    int number = name.number();
    return number >= 0
        && context.guards.isWithinLimit(number, limit.permits())
        && limit.isOut(number)
        && context.guards.isLeaseInForce(name.fencingToken(), limit.issuedStamp(number))
        && ownership.mayUse(limit, number, nowNanos);
  }

  /** Takes over that leases held here were prolonged. */
  void onProlonged(PermitMessage.LeaseRenewed renewed) {
    long countedFromNanos = context.marks.timeOf(renewed.baseTimestampId());
    if (countedFromNanos == ClockMarks.UNKNOWN) {
      return;
    }
    for (LeasedPermit lease : renewed.permits()) {
      LimitState limit = context.table.find(lease.limit());
      int number = lease.number();
      if (limit != null
          && number >= 0
          && number < limit.tracked()
          && limit.isLeased(number)
          && Stamps.isSameLease(lease.fencingToken(), limit.stamp(number))) {
        limit.prolongLease(
            number,
            context.guards.leaseEnd(context.settings, countedFromNanos, lease.durationNanos()));
      }
    }
  }

  /** Sends what the present event passes on or returns. */
  void flush(long nowNanos) {
    if (!transfers.isEmpty()) {
      transfers.forEach((peer, permits) -> sendTransfer(peer, permits, nowNanos));
      transfers.clear();
      correlations.clear();
    }
    if (!returns.isEmpty()) {
      long mark = context.marks.mark(nowNanos);
      returns.forEach(
          (peer, names) -> context.outbox.send(peer, new PermitMessage.LeaseReturn(mark, names)));
      returns.clear();
    }
  }

  private void sendTransfer(VmIncarnation peer, List<LeasedPermit> permits, long nowNanos) {
    context.outbox.send(
        peer,
        new PermitMessage.LeaseTransfer(
            correlations.getOrDefault(peer, 0L),
            context.marks.mark(nowNanos),
            context.marks.latestOf(peer).mark(),
            permits));
  }
}
