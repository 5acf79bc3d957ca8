package org.mustardstage.core.permit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.permit.PermitMessage.HandedOverPermit;
import org.mustardstage.core.permit.PermitMessage.Handover;

/** Keeps the state of permits in step with the parts that this VM gains and loses. */
final class Tenure implements LeaseBook.OwnershipView {
  private static final int MAX_PERMITS = 1 << 20;

  private final AgentContext context;
  private final Map<ZoneId, ZoneOwnership> zones = new HashMap<>();

  Tenure(AgentContext context) {
    this.context = context;
    zoneOf(context.zone);
  }

  /** Returns what is known of the ownership of {@code zone}. */
  ZoneOwnership zoneOf(ZoneId zone) {
    return zones.computeIfAbsent(
        zone, key -> new ZoneOwnership(key, context.self, context.settings, context.guards));
  }

  /** Returns the zones of which a list was asked for or read. */
  Iterable<ZoneOwnership> zones() {
    return zones.values();
  }

  @Override
  public boolean mayUse(LimitState limit, int number, long nowNanos) {
    if (!limit.isOwned(number)) {
      return false;
    }
    return zones.get(limit.zone).mayUse(limit.partOf(number), nowNanos);
  }

  @Override
  public long revisionOf(LimitState limit) {
    return zones.get(limit.zone).revision();
  }

  @Override
  public VmIncarnation ownerOf(LimitState limit, int number, VmIncarnation issuer) {
    ZoneOwnership ownership = zones.get(limit.zone);
    VmIncarnation owner = ownership == null ? null : ownership.ownerOf(limit.partOf(number));
    boolean isOutdated = context.self.equals(owner) && !limit.isOwned(number);
    return owner == null || isOutdated ? issuer : owner;
  }

  /** Takes over a list that is newer than the known one. */
  void follow(ZoneOwnership ownership, long nowNanos) {
    Set<Integer> gained = new HashSet<>();
    Set<Integer> lost = new HashSet<>();
    for (int part = 0; part < OwnershipList.PART_COUNT; part++) {
      if (ownership.isListedOwner(part) && !ownership.isOwned(part)) {
        ownership.gain(part, nowNanos);
        gained.add(part);
      } else if (!ownership.isListedOwner(part) && ownership.isOwned(part)) {
        lost.add(part);
      }
    }
    loseParts(ownership, lost, ownership.revision(), ownership.list().owners());
    for (LimitState limit : context.table.all()) {
      if (limit.zone.equals(ownership.zone)) {
        gainPermits(limit, ownership, gained, 0);
      }
    }
  }

  private void gainPermits(
      LimitState limit, ZoneOwnership ownership, Set<Integer> parts, int firstNumber) {
    for (int number = firstNumber; number < limit.tracked(); number++) {
      int part = limit.partOf(number);
      if (parts.contains(part)) {
        limit.becomeUnusable(number, ownership.usableAtNanos(part));
        limit.setIssuedStamp(number, Stamps.firstOf(ownership.revision()));
      }
    }
  }

  /** Ends the tenure of parts; uses that run go on to their end. */
  void loseParts(
      ZoneOwnership ownership, Set<Integer> parts, long revision, List<VmIncarnation> newOwners) {
    if (parts.isEmpty()) {
      return;
    }
    for (LimitState limit : context.table.all()) {
      if (limit.zone.equals(ownership.zone)) {
        losePermits(limit, parts, newOwners);
      }
    }
    parts.forEach(part -> ownership.lose(part, revision));
  }

  private static void losePermits(
      LimitState limit, Set<Integer> parts, List<VmIncarnation> newOwners) {
    for (int number = 0; number < limit.tracked(); number++) {
      if (limit.isOwned(number) && parts.contains(limit.partOf(number))) {
        limit.loseOwnership(number, newOwners.get(limit.partOf(number)));
      }
    }
  }

  /**
   * Takes over permits that the manifest added. A handover may have named larger numbers before, so
   * all numbers are looked at.
   */
  void addPermits(LimitState limit, long notBeforeNanos, long nowNanos) {
    ZoneOwnership ownership = zones.get(limit.zone);
    if (ownership == null) {
      return;
    }
    for (int number = 0; number < limit.tracked(); number++) {
      int part = limit.partOf(number);
      if (!ownership.isOwned(part) || limit.isOwned(number)) {
        continue;
      }
      limit.setIssuedStamp(number, Stamps.firstOf(ownership.revision()));
      long usableNanos = Math.max(notBeforeNanos, ownership.usableAtNanos(part));
      if (context.guards.mayReclaim(nowNanos, usableNanos)) {
        limit.becomeAtHand(number, nowNanos);
      } else {
        limit.becomeUnusable(number, usableNanos);
      }
    }
  }

  /** Returns what the next owner needs to know of the permits of {@code parts}. */
  List<HandedOverPermit> describe(ZoneOwnership ownership, Set<Integer> parts, long nowNanos) {
    List<HandedOverPermit> handed = new ArrayList<>();
    for (LimitState limit : context.table.all()) {
      for (int number = 0; number < limit.tracked(); number++) {
        boolean isHanded = limit.isOwned(number) && parts.contains(limit.partOf(number));
        if (isHanded && limit.zone.equals(ownership.zone)) {
          handed.add(describe(ownership, limit, number, nowNanos));
        }
      }
    }
    return handed;
  }

  private HandedOverPermit describe(
      ZoneOwnership ownership, LimitState limit, int number, long nowNanos) {
    long untilNanos = limit.outUntilNanos(number);
    if (limit.isOwnedAtHand(number) && limit.isUsed(number)) {
      long stamp = limit.nextStamp(number, Stamps.firstOf(ownership.revision()));
      limit.setIssuedStamp(number, stamp);
      limit.raiseStamp(number, stamp);
      untilNanos = limit.useUntilNanos(number);
    }
    long leftNanos = Math.max(0, untilNanos - nowNanos);
    long unusableNanos = leftNanos == 0 ? 0 : context.settings.stretch(leftNanos);
    return new HandedOverPermit(limit.id, number, limit.issuedStamp(number), unusableNanos);
  }

  /** Takes over what a handover that arrived at {@code receivedNanos} tells. */
  void apply(ZoneOwnership ownership, Handover handover, long receivedNanos, long nowNanos) {
    Set<Integer> told = new HashSet<>();
    for (int part : handover.parts()) {
      boolean isValid = part >= 0 && part < OwnershipList.PART_COUNT;
      if (isValid
          && ownership.awaitsHandover(part, nowNanos)
          && ownership.isCurrentHandover(part, handover.expectedRevision())) {
        told.add(part);
      }
    }
    freeUntold(ownership, told, nowNanos);
    for (HandedOverPermit permit : handover.permits()) {
      takeOver(ownership, permit, told, receivedNanos);
    }
    told.forEach(part -> ownership.endWait(part, nowNanos));
  }

  private void freeUntold(ZoneOwnership ownership, Set<Integer> parts, long nowNanos) {
    for (LimitState limit : context.table.all()) {
      for (int number = 0; number < limit.tracked(); number++) {
        boolean isTold = limit.isOwned(number) && parts.contains(limit.partOf(number));
        if (isTold && limit.zone.equals(ownership.zone)) {
          limit.becomeUnusable(number, nowNanos);
        }
      }
    }
  }

  private void takeOver(
      ZoneOwnership ownership, HandedOverPermit permit, Set<Integer> parts, long receivedNanos) {
    LimitState limit = context.table.findOrAdd(permit.limit(), ownership.zone);
    boolean isValid = permit.number() >= 0 && permit.number() < MAX_PERMITS;
    if (!isValid || !limit.zone.equals(ownership.zone)) {
      return;
    }
    if (!parts.contains(limit.partOf(permit.number()))) {
      return;
    }
    limit.track(permit.number() + 1);
    limit.setIssuedStamp(permit.number(), permit.fencingToken());
    limit.becomeLeasedOut(permit.number(), receivedNanos + permit.unusableNanos());
  }
}
