package org.mustardstage.core.permit;

/**
 * The conditions on which safety rests, each in one place. Not final, so that tests can break one
 * of them and see that the checks notice.
 */
class PermitGuards {
  /** Returns whether a right that ends at {@code untilNanos} covers a use. */
  boolean leaseCovers(long untilNanos, long useEndNanos) {
    return useEndNanos <= untilNanos;
  }

  /** Returns whether an owner may use again a permit whose lease ends at {@code leaseEndNanos}. */
  boolean mayReclaim(long nowNanos, long leaseEndNanos) {
    return nowNanos >= leaseEndNanos;
  }

  /** Returns whether the slot of a use that ends at {@code useEndNanos} is surely free. */
  boolean slotIsFree(boolean endIsKnown, long nowNanos, long useEndNanos) {
    return endIsKnown || nowNanos >= useEndNanos;
  }

  /** Returns whether a lease that arrives is newer than all that were seen of the permit. */
  boolean acceptsLease(long stamp, long lastStamp) {
    return stamp > lastStamp;
  }

  /** Returns whether {@code stamp} names the lease that is out. */
  boolean isLeaseInForce(long stamp, long issuedStamp) {
    return Stamps.isSameLease(stamp, issuedStamp);
  }

  /** Returns the end of a lease at its lessee. */
  long leaseEnd(PermitSettings settings, long countedFromNanos, long durationNanos) {
    return countedFromNanos + settings.shrink(durationNanos);
  }

  /** Returns whether the ownership of {@code member} may be taken. */
  boolean mayTakeOwnership(ZoneMember member) {
    return member.provenGone();
  }

  /** Returns how long a new owner waits that was told nothing of the permits. */
  long takeoverWaitNanos(PermitSettings settings) {
    return settings.takeoverWaitNanos();
  }

  /** Returns whether ownership that was confirmed until {@code validUntilNanos} still holds. */
  boolean ownershipHolds(long nowNanos, long validUntilNanos) {
    return nowNanos < validUntilNanos;
  }

  /** Returns whether a gap between two events counts as a pause. */
  boolean isPause(PermitSettings settings, long gapNanos) {
    return gapNanos > settings.pauseThresholdNanos();
  }

  /** Returns whether a list takes the place of one with {@code knownRevision}. */
  boolean isNewerList(long revision, long knownRevision) {
    return revision > knownRevision;
  }

  /** Returns whether a handover made on {@code expectedRevision} tells of the present tenure. */
  boolean handoverIsCurrent(long expectedRevision, long lastRevisionNotOwned) {
    return expectedRevision >= lastRevisionNotOwned;
  }

  /** Returns whether an owner with a proposal of unknown outcome may use the part again. */
  boolean mayUnfreeze(long listRevision, long expectedRevision) {
    return listRevision > expectedRevision;
  }

  /** Returns whether a permit may be granted or leased under the manifest in force. */
  boolean isWithinLimit(int number, int permits) {
    return number < permits;
  }
}
