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

/** Updates the state of permits when this VM gains or loses the ownership of parts. */
final class OwnershipTracker implements LeaseManager.OwnershipView {
  // Bounds the memory that a wrong permit number in a handover can claim.
  private static final int MAX_PERMIT_COUNT = 1 << 20;

  private final AgentContext context;
  private final Map<ZoneId, ZoneOwnership> zones = new HashMap<>();

  OwnershipTracker(AgentContext context) {
    this.context = context;
    zoneOf(context.zone);
  }

  /** Returns the ownership state of {@code zone}. */
  ZoneOwnership zoneOf(ZoneId zone) {
    return zones.computeIfAbsent(
        zone, key -> new ZoneOwnership(key, context.self, context.settings, context.guards));
  }

  /** Returns the ownership state of all zones that were looked up or whose list was read. */
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

  /** Starts and ends the ownership of parts according to the newest list. */
  void applyList(ZoneOwnership ownership, long nowNanos) {
    Set<Integer> gainedParts = new HashSet<>();
    Set<Integer> lostParts = new HashSet<>();
    for (int part = 0; part < OwnershipList.PART_COUNT; part++) {
      if (ownership.isListedOwner(part) && !ownership.isOwned(part)) {
        ownership.startOwnership(part, nowNanos);
        gainedParts.add(part);
      } else if (!ownership.isListedOwner(part) && ownership.isOwned(part)) {
        lostParts.add(part);
      }
    }
    loseParts(ownership, lostParts, ownership.revision(), ownership.list().owners());
    for (LimitState limit : context.limits.all()) {
      if (limit.zone.equals(ownership.zone)) {
        gainPermits(limit, ownership, gainedParts, 0);
      }
    }
  }

  private void gainPermits(
      LimitState limit, ZoneOwnership ownership, Set<Integer> parts, int firstNumber) {
    for (int number = firstNumber; number < limit.trackedCount(); number++) {
      int part = limit.partOf(number);
      if (parts.contains(part)) {
        limit.markUnusable(number, ownership.usableFromNanos(part));
        limit.setIssuedToken(number, FencingTokens.floorOf(ownership.revision()));
      }
    }
  }

  /** Ends the ownership of parts. Uses that are running continue until they end. */
  void loseParts(
      ZoneOwnership ownership, Set<Integer> parts, long revision, List<VmIncarnation> newOwners) {
    if (parts.isEmpty()) {
      return;
    }
    for (LimitState limit : context.limits.all()) {
      if (limit.zone.equals(ownership.zone)) {
        losePermits(limit, parts, newOwners);
      }
    }
    parts.forEach(part -> ownership.endOwnership(part, revision));
  }

  private static void losePermits(
      LimitState limit, Set<Integer> parts, List<VmIncarnation> newOwners) {
    for (int number = 0; number < limit.trackedCount(); number++) {
      if (limit.isOwned(number) && parts.contains(limit.partOf(number))) {
        limit.loseOwnership(number, newOwners.get(limit.partOf(number)));
      }
    }
  }

  /**
   * Starts the ownership of permits that a manifest added in owned parts. Checks all numbers,
   * because a handover may have named numbers above the limit known here.
   */
  void addPermits(LimitState limit, long notBeforeNanos, long nowNanos) {
    ZoneOwnership ownership = zones.get(limit.zone);
    if (ownership == null) {
      return;
    }
    for (int number = 0; number < limit.trackedCount(); number++) {
      int part = limit.partOf(number);
      if (!ownership.isOwned(part) || limit.isOwned(number)) {
        continue;
      }
      limit.setIssuedToken(number, FencingTokens.floorOf(ownership.revision()));
      long usableFromNanos = Math.max(notBeforeNanos, ownership.usableFromNanos(part));
      if (context.guards.mayReclaim(nowNanos, usableFromNanos)) {
        limit.markHeldByOwner(number, nowNanos);
      } else {
        limit.markUnusable(number, usableFromNanos);
      }
    }
  }

  /**
   * Returns the fencing token and the remaining blocked time of each permit of {@code parts}, for
   * their next owner. A permit that a request uses is described as if leased.
   */
  List<HandedOverPermit> describePermits(
      ZoneOwnership ownership, Set<Integer> parts, long nowNanos) {
    List<HandedOverPermit> handedOver = new ArrayList<>();
    for (LimitState limit : context.limits.all()) {
      for (int number = 0; number < limit.trackedCount(); number++) {
        boolean isHandedOver = limit.isOwned(number) && parts.contains(limit.partOf(number));
        if (isHandedOver && limit.zone.equals(ownership.zone)) {
          handedOver.add(describePermits(ownership, limit, number, nowNanos));
        }
      }
    }
    return handedOver;
  }

  private HandedOverPermit describePermits(
      ZoneOwnership ownership, LimitState limit, int number, long nowNanos) {
    long untilNanos = limit.blockedUntilNanos(number);
    if (limit.isHeldByOwner(number) && limit.isInUse(number)) {
      long token = limit.nextToken(number, FencingTokens.floorOf(ownership.revision()));
      limit.setIssuedToken(number, token);
      limit.raiseLatestToken(number, token);
      untilNanos = limit.useExpiryNanos(number);
    }
    long remainingNanos = Math.max(0, untilNanos - nowNanos);
    long unusableNanos =
        remainingNanos == 0 ? 0 : context.settings.lengthenForClockError(remainingNanos);
    return new HandedOverPermit(limit.id, number, limit.issuedToken(number), unusableNanos);
  }

  /**
   * Applies a handover that arrived at {@code receivedNanos}: permits of its parts that it does not
   * list are usable at once, and the others after their stated time.
   */
  void applyHandover(
      ZoneOwnership ownership, Handover handover, long receivedNanos, long nowNanos) {
    Set<Integer> describedParts = new HashSet<>();
    for (int part : handover.parts()) {
      boolean isValid = part >= 0 && part < OwnershipList.PART_COUNT;
      if (isValid
          && ownership.awaitsHandover(part, nowNanos)
          && ownership.isCurrentHandover(part, handover.expectedRevision())) {
        describedParts.add(part);
      }
    }
    unblockPermits(ownership, describedParts, nowNanos);
    for (HandedOverPermit permit : handover.permits()) {
      blockHandedOverPermit(ownership, permit, describedParts, receivedNanos);
    }
    describedParts.forEach(part -> ownership.endHandoverWait(part, nowNanos));
  }

  private void unblockPermits(ZoneOwnership ownership, Set<Integer> parts, long nowNanos) {
    for (LimitState limit : context.limits.all()) {
      for (int number = 0; number < limit.trackedCount(); number++) {
        boolean isDescribed = limit.isOwned(number) && parts.contains(limit.partOf(number));
        if (isDescribed && limit.zone.equals(ownership.zone)) {
          limit.markUnusable(number, nowNanos);
        }
      }
    }
  }

  private void blockHandedOverPermit(
      ZoneOwnership ownership, HandedOverPermit permit, Set<Integer> parts, long receivedNanos) {
    LimitState limit = context.limits.findOrAdd(permit.limit(), ownership.zone);
    boolean isValid = permit.number() >= 0 && permit.number() < MAX_PERMIT_COUNT;
    if (!isValid || !limit.zone.equals(ownership.zone)) {
      return;
    }
    if (!parts.contains(limit.partOf(permit.number()))) {
      return;
    }
    limit.ensureTracked(permit.number() + 1);
    limit.setIssuedToken(permit.number(), permit.fencingToken());
    limit.markLeasedOut(permit.number(), receivedNanos + permit.unusableNanos());
  }
}
