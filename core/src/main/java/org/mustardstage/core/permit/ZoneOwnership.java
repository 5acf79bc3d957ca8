package org.mustardstage.core.permit;

import java.util.Arrays;
import java.util.Set;
import java.util.TreeSet;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;

/**
 * The latest known ownership list of a zone, and the parts that this VM owns. The two may differ:
 * ownership starts and ends when the list is applied, and ends early when this VM gives parts away.
 */
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
  private final long[] usableFromNanos = new long[OwnershipList.PART_COUNT];
  private final long[] lastRevisionNotOwned = new long[OwnershipList.PART_COUNT];
  private long confirmedNanos = NEVER;
  private long minConfirmableNanos = NEVER;
  private long gainedNanos = NEVER;
  private boolean wasPaused;

  ZoneOwnership(ZoneId zone, VmIncarnation self, PermitSettings settings, PermitGuards guards) {
    this.zone = zone;
    this.self = self;
    this.settings = settings;
    this.guards = guards;
    Arrays.fill(lastRevisionNotOwned, -1);
  }

  /** Returns the newest list that was received, or null. */
  OwnershipList list() {
    return list;
  }

  /** Returns the revision of the newest list, or -1. */
  long revision() {
    return list == null ? -1 : list.revision();
  }

  /** Stores a list, and returns whether it was newer than the known one. */
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

  /** Returns the owner of a part according to the newest list, or null. */
  VmIncarnation ownerOf(int part) {
    return list == null || list.revision() == 0 ? null : list.owners().get(part);
  }

  /** Returns whether this VM owns the part according to the newest list. */
  boolean isListedOwner(int part) {
    return list != null && list.isOwner(self, part);
  }

  /** Returns whether this VM owns the part. */
  boolean isOwned(int part) {
    return owned[part];
  }

  /** Returns how many parts this VM owns. */
  int ownedPartCount() {
    int count = 0;
    for (boolean isOwned : owned) {
      count += isOwned ? 1 : 0;
    }
    return count;
  }

  /**
   * Starts the ownership of a part. Its permits are unusable until a handover describes them or the
   * takeover wait has passed.
   */
  void startOwnership(int part, long nowNanos) {
    owned[part] = true;
    awaitsHandover[part] = true;
    frozen[part] = false;
    usableFromNanos[part] = nowNanos + guards.takeoverWaitNanos(settings);
    gainedNanos = wasPaused ? NEVER : nowNanos;
  }

  /** Ends the ownership of a part; the list of {@code revision} or a later one names its owner. */
  void endOwnership(int part, long revision) {
    lastRevisionNotOwned[part] = Math.max(lastRevisionNotOwned[part], revision);
    owned[part] = false;
    awaitsHandover[part] = false;
    frozen[part] = false;
  }

  /** Returns whether the part waits for a handover. */
  boolean awaitsHandover(int part, long nowNanos) {
    return owned[part] && awaitsHandover[part] && nowNanos < usableFromNanos[part];
  }

  /**
   * Returns whether a handover for a change at {@code expectedRevision} belongs to the current
   * ownership.
   */
  boolean isCurrentHandover(int part, long expectedRevision) {
    return guards.isCurrentHandover(expectedRevision, lastRevisionNotOwned[part]);
  }

  /** Ends the wait for a handover, which has described the permits of the part. */
  void endHandoverWait(int part, long nowNanos) {
    awaitsHandover[part] = false;
    usableFromNanos[part] = nowNanos;
  }

  /** Returns the time from which permits of the part may be used without a handover. */
  long usableFromNanos(int part) {
    return usableFromNanos[part];
  }

  /** Sets whether the permits of the part must not be granted or leased. */
  void setFrozen(int part, boolean isFrozen) {
    frozen[part] = isFrozen;
  }

  /** Returns whether permits of the part may be granted and leased. */
  boolean mayUse(int part, long nowNanos) {
    return owned[part] && !frozen[part] && isConfirmed(nowNanos);
  }

  /** Returns whether the last confirmation of the list is still valid. */
  boolean isConfirmed(long nowNanos) {
    return confirmedNanos != NEVER
        && guards.isOwnershipValid(nowNanos, confirmedNanos + settings.ownershipValidityNanos());
  }

  /**
   * Returns whether the parts of this VM can't have had another owner since the known list. This
   * holds while the last confirmation or the start of ownership is so recent that ownership is
   * still valid.
   */
  boolean isOwnershipContinuous(long nowNanos) {
    long validFromNanos = Math.max(confirmedNanos, gainedNanos);
    return validFromNanos != NEVER
        && guards.isOwnershipValid(nowNanos, validFromNanos + settings.ownershipValidityNanos());
  }

  /** Returns the parts that this VM owns. */
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
    return confirmedNanos == NEVER ? Long.MAX_VALUE : nowNanos - confirmedNanos;
  }

  /** Returns whether the list has been confirmed since the last pause. */
  boolean isConfirmedSincePause() {
    return confirmedNanos != NEVER;
  }

  /**
   * Records a confirmation that was requested at {@code requestedNanos}. It counts only if it was
   * requested after the last pause.
   */
  void recordConfirmation(long requestedNanos) {
    if (requestedNanos >= minConfirmableNanos) {
      confirmedNanos = Math.max(confirmedNanos, requestedNanos);
      wasPaused = false;
    }
  }

  /**
   * Invalidates the ownership after a pause, until a confirmation that is requested from now on
   * arrives.
   */
  void invalidateConfirmation(long nowNanos) {
    confirmedNanos = NEVER;
    gainedNanos = NEVER;
    minConfirmableNanos = nowNanos;
    wasPaused = true;
  }
}
