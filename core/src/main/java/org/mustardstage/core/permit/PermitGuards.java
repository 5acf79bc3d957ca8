package org.mustardstage.core.permit;

/**
 * The conditions that the safety of the permit protocol depends on, each in one method. Not final,
 * so that tests can break one condition and check that the fault is detected.
 */
class PermitGuards {
  /** Returns whether a lease that expires at {@code expiryNanos} covers a use. */
  boolean leaseCovers(long expiryNanos, long useExpiryNanos) {
    return useExpiryNanos <= expiryNanos;
  }

  /**
   * Returns whether an owner may use a permit again whose lease expires at {@code
   * leaseExpiryNanos}.
   */
  boolean mayReclaim(long nowNanos, long leaseExpiryNanos) {
    return nowNanos >= leaseExpiryNanos;
  }

  /** Returns whether the slot of a use that expires at {@code useExpiryNanos} is surely free. */
  boolean slotIsFree(boolean hasSurelyEnded, long nowNanos, long useExpiryNanos) {
    return hasSurelyEnded || nowNanos >= useExpiryNanos;
  }

  /**
   * Returns whether an arriving lease is newer than all earlier leases of the permit that were seen
   * here.
   */
  boolean acceptsLease(long token, long latestToken) {
    return token > latestToken;
  }

  /** Returns whether {@code token} belongs to the lease that was issued last. */
  boolean isCurrentLease(long token, long issuedToken) {
    return FencingTokens.isSameLease(token, issuedToken);
  }

  /** Returns the expiry of a lease by the clock of its lessee. */
  long leaseExpiryNanos(PermitSettings settings, long countedFromNanos, long durationNanos) {
    return countedFromNanos + settings.shortenForClockError(durationNanos);
  }

  /** Returns whether the ownership of {@code member} may be taken over. */
  boolean mayTakeOwnership(ZoneMember member) {
    return member.provenGone();
  }

  /** Returns how long a new owner must wait before it uses permits that no handover described. */
  long takeoverWaitNanos(PermitSettings settings) {
    return settings.takeoverWaitNanos();
  }

  /**
   * Returns whether ownership with a confirmation that is valid until {@code validUntilNanos} still
   * holds.
   */
  boolean isOwnershipValid(long nowNanos, long validUntilNanos) {
    return nowNanos < validUntilNanos;
  }

  /** Returns whether a gap between two events counts as a pause of the process. */
  boolean isPause(PermitSettings settings, long gapNanos) {
    return gapNanos > settings.pauseThresholdNanos();
  }

  /** Returns whether a list replaces the one with {@code knownRevision}. */
  boolean isNewerList(long revision, long knownRevision) {
    return revision > knownRevision;
  }

  /**
   * Returns whether a handover for a change of the list at {@code expectedRevision} belongs to the
   * current ownership of a part, and not to an earlier one.
   */
  boolean isCurrentHandover(long expectedRevision, long lastRevisionNotOwned) {
    return expectedRevision >= lastRevisionNotOwned;
  }

  /**
   * Returns whether a newer list shows the effect of a proposal, so that the owner may resolve it
   * and use the parts that stayed.
   */
  boolean mayUnfreeze(long listRevision, long expectedRevision) {
    return listRevision > expectedRevision;
  }

  /** Returns whether a permit number may be granted or leased under the active manifest. */
  boolean isWithinLimit(int number, int permits) {
    return number < permits;
  }
}
