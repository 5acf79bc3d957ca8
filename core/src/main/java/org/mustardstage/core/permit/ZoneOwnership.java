package org.mustardstage.core.permit;

import java.util.Arrays;
import java.util.Set;
import java.util.TreeSet;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;

/** What one agent knows of the ownership list of a zone, and its own tenure of parts. */
final class ZoneOwnership {
  private static final long NEVER = Long.MIN_VALUE;

  final ZoneId zone;
  private final VmIncarnation self;
  private final PermitSettings settings;
  private final PermitGuards guards;
  private OwnershipList list;
  private final boolean[] owned = new boolean[OwnershipList.PART_COUNT];
  private final boolean[] awaitsHandover = new boolean[OwnershipList.PART_COUNT];
  private final boolean[] frozen = new boolean[OwnershipList.PART_COUNT];
  private final long[] usableAtNanos = new long[OwnershipList.PART_COUNT];
  private final long[] lastRevisionNotOwned = new long[OwnershipList.PART_COUNT];
  private long confirmedAtNanos = NEVER;
  private long confirmableSinceNanos = NEVER;
  private long gainedAtNanos = NEVER;
  private boolean wasPaused;

  ZoneOwnership(ZoneId zone, VmIncarnation self, PermitSettings settings, PermitGuards guards) {
    this.zone = zone;
    this.self = self;
    this.settings = settings;
    this.guards = guards;
    Arrays.fill(lastRevisionNotOwned, -1);
  }

  /** Returns the newest list that was read, or null. */
  OwnershipList list() {
    return list;
  }

  /** Returns the revision of the newest list, or -1. */
  long revision() {
    return list == null ? -1 : list.revision();
  }

  /** Takes over a list and returns whether it was newer than the known one. */
  boolean update(OwnershipList newList) {
    if (!guards.isNewerList(newList.revision(), revision())) {
      return false;
    }
    list = newList;
    for (int part = 0; part < OwnershipList.PART_COUNT; part++) {
      if (!newList.isOwner(self, part)) {
        lastRevisionNotOwned[part] = newList.revision();
      }
    }
    return true;
  }

  /** Returns the owner of a part by the newest list, or null. */
  VmIncarnation ownerOf(int part) {
    return list == null || list.revision() == 0 ? null : list.owners().get(part);
  }

  /** Returns whether this VM owns the part by the newest list. */
  boolean isListedOwner(int part) {
    return list != null && list.isOwner(self, part);
  }

  /** Returns whether this VM has the tenure of the part. */
  boolean isOwned(int part) {
    return owned[part];
  }

  /** Returns how many parts this VM has the tenure of. */
  int countOwned() {
    int count = 0;
    for (boolean isOwned : owned) {
      count += isOwned ? 1 : 0;
    }
    return count;
  }

  /** Starts the tenure of a part about whose permits nothing is known. */
  void gain(int part, long nowNanos) {
    owned[part] = true;
    awaitsHandover[part] = true;
    frozen[part] = false;
    usableAtNanos[part] = nowNanos + guards.takeoverWaitNanos(settings);
    gainedAtNanos = wasPaused ? NEVER : nowNanos;
  }

  /** Ends the tenure of a part; a list of {@code revision} or later says who owns it. */
  void lose(int part, long revision) {
    lastRevisionNotOwned[part] = Math.max(lastRevisionNotOwned[part], revision);
    owned[part] = false;
    awaitsHandover[part] = false;
    frozen[part] = false;
  }

  /** Returns whether the part waits to be told about its permits. */
  boolean awaitsHandover(int part, long nowNanos) {
    return owned[part] && awaitsHandover[part] && nowNanos < usableAtNanos[part];
  }

  /** Returns whether a handover made on {@code expectedRevision} tells of the present tenure. */
  boolean isCurrentHandover(int part, long expectedRevision) {
    return guards.handoverIsCurrent(expectedRevision, lastRevisionNotOwned[part]);
  }

  /** All that is needed about the permits of a part is known. */
  void endWait(int part, long nowNanos) {
    awaitsHandover[part] = false;
    usableAtNanos[part] = nowNanos;
  }

  /** Returns from when permits of the part may be used of which nothing is known. */
  long usableAtNanos(int part) {
    return usableAtNanos[part];
  }

  /** Keeps the permits of the part from being granted or leased, or lets them again. */
  void setFrozen(int part, boolean isFrozen) {
    frozen[part] = isFrozen;
  }

  /** Returns whether permits of the part may be granted and leased. */
  boolean mayUse(int part, long nowNanos) {
    return owned[part] && !frozen[part] && isConfirmed(nowNanos);
  }

  /** Returns whether the list was confirmed lately. */
  boolean isConfirmed(long nowNanos) {
    return confirmedAtNanos != NEVER
        && guards.ownershipHolds(nowNanos, confirmedAtNanos + settings.ownershipValidityNanos());
  }

  /**
   * Returns whether the parts of this VM can't have had another owner since the known list: too
   * little time has passed since the last sign that it was valid.
   */
  boolean isTenureSure(long nowNanos) {
    long sureAtNanos = Math.max(confirmedAtNanos, gainedAtNanos);
    return sureAtNanos != NEVER
        && guards.ownershipHolds(nowNanos, sureAtNanos + settings.ownershipValidityNanos());
  }

  /** Returns the parts that this VM has the tenure of. */
  Set<Integer> ownedParts() {
    Set<Integer> parts = new TreeSet<>();
    for (int part = 0; part < OwnershipList.PART_COUNT; part++) {
      if (owned[part]) {
        parts.add(part);
      }
    }
    return parts;
  }

  /** Returns the time since the last confirmation. */
  long confirmationAgeNanos(long nowNanos) {
    return confirmedAtNanos == NEVER ? Long.MAX_VALUE : nowNanos - confirmedAtNanos;
  }

  /** Returns whether the list was confirmed since the last pause. */
  boolean isSettled() {
    return confirmedAtNanos != NEVER;
  }

  /** Takes over a confirmation that was asked for at {@code askedNanos}. */
  void confirm(long askedNanos) {
    if (askedNanos >= confirmableSinceNanos) {
      confirmedAtNanos = Math.max(confirmedAtNanos, askedNanos);
      wasPaused = false;
    }
  }

  /** Ownership needs a confirmation that is asked for from now on. */
  void onPause(long nowNanos) {
    confirmedAtNanos = NEVER;
    gainedAtNanos = NEVER;
    confirmableSinceNanos = nowNanos;
    wasPaused = true;
  }
}
