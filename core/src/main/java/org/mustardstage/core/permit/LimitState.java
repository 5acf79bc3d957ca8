package org.mustardstage.core.permit;

import java.util.Arrays;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;

/**
 * What one agent knows of the permits of one limit. A VM may stand in two relations to a permit: as
 * its owner, with the permit at hand or out, and as a lessee, with a lease until some time. Apart
 * from that the permit may be in use by a request of this VM.
 */
final class LimitState {
  /** Stands for no request. */
  static final long NO_REQUEST = Long.MIN_VALUE;

  private static final byte NOT_OWNED = 0;
  private static final byte HELD_BY_OWNER = 1;
  private static final byte BLOCKED = 2;

  final LimitId id;
  final ZoneId zone;
  VmIncarnation allocator;
  VmIncarnation permitsWantedBy;
  long permitsWantedUntilNanos;
  long permitsWantedSentNanos = Long.MIN_VALUE / 2;
  private final int partOfFirstPermit;
  private int permitCount;
  private int availableCount;
  private int activeCount;
  private byte[] ownership = new byte[0];
  private boolean[] leasedOut = new boolean[0];
  private boolean[] leaseHeld = new boolean[0];
  private long[] blockedUntilNanos = new long[0];
  private long[] leaseExpiryNanos = new long[0];
  private long[] useExpiryNanos = new long[0];
  private long[] idleSinceNanos = new long[0];
  private long[] latestTokens = new long[0];
  private long[] issuedTokens = new long[0];
  private long[] requestIds = new long[0];
  private VmIncarnation[] issuers = new VmIncarnation[0];

  LimitState(LimitId id, ZoneId zone) {
    this.id = id;
    this.zone = zone;
    this.partOfFirstPermit = OwnershipList.partOf(id, 0);
  }

  /** Returns the part of the ownership list that the permit belongs to. */
  int partOf(int number) {
    return OwnershipList.partAt(partOfFirstPermit, number);
  }

  /** Returns the number of permits under the manifest in force. */
  int permitCount() {
    return permitCount;
  }

  /** Returns how many permit numbers are tracked; more than the limit while it shrinks. */
  int trackedCount() {
    return ownership.length;
  }

  /** Returns how many permits within the limit are at hand and not used. */
  int availableCount() {
    return availableCount;
  }

  /** Returns whether nothing is owned, leased or used. */
  boolean isInactive() {
    return activeCount == 0;
  }

  /** Takes over the number of permits. */
  void resize(int newPermits) {
    permitCount = newPermits;
    ensureTracked(newPermits);
    availableCount = 0;
    for (int number = 0; number < trackedCount(); number++) {
      availableCount += isAvailable(number) ? 1 : 0;
    }
  }

  /** Tracks at least the permits below {@code count}. */
  void ensureTracked(int count) {
    int old = trackedCount();
    if (count <= old) {
      return;
    }
    ownership = Arrays.copyOf(ownership, count);
    leasedOut = Arrays.copyOf(leasedOut, count);
    leaseHeld = Arrays.copyOf(leaseHeld, count);
    blockedUntilNanos = Arrays.copyOf(blockedUntilNanos, count);
    leaseExpiryNanos = Arrays.copyOf(leaseExpiryNanos, count);
    useExpiryNanos = Arrays.copyOf(useExpiryNanos, count);
    idleSinceNanos = Arrays.copyOf(idleSinceNanos, count);
    latestTokens = Arrays.copyOf(latestTokens, count);
    issuedTokens = Arrays.copyOf(issuedTokens, count);
    requestIds = Arrays.copyOf(requestIds, count);
    issuers = Arrays.copyOf(issuers, count);
    Arrays.fill(requestIds, old, count, NO_REQUEST);
  }

  /** Returns whether the permit is at hand, within the limit and not used. */
  boolean isAvailable(int number) {
    return number < permitCount && useExpiryNanos[number] == 0 && isHeld(number);
  }

  private boolean isHeld(int number) {
    return leaseHeld[number] || ownership[number] == HELD_BY_OWNER;
  }

  boolean holdsLease(int number) {
    return leaseHeld[number];
  }

  boolean isOwned(int number) {
    return ownership[number] != NOT_OWNED;
  }

  boolean isHeldByOwner(int number) {
    return ownership[number] == HELD_BY_OWNER;
  }

  boolean isBlocked(int number) {
    return ownership[number] == BLOCKED;
  }

  boolean isInUse(int number) {
    return useExpiryNanos[number] != 0;
  }

  long blockedUntilNanos(int number) {
    return blockedUntilNanos[number];
  }

  long leaseExpiryNanos(int number) {
    return leaseExpiryNanos[number];
  }

  long useExpiryNanos(int number) {
    return useExpiryNanos[number];
  }

  long idleSinceNanos(int number) {
    return idleSinceNanos[number];
  }

  /** Returns the largest stamp of a lease that this VM held. */
  long latestToken(int number) {
    return latestTokens[number];
  }

  long requestId(int number) {
    return requestIds[number];
  }

  VmIncarnation issuer(int number) {
    return issuers[number];
  }

  /** Returns the stamp of the lease that is out, or the largest that was. */
  long issuedToken(int number) {
    return issuedTokens[number];
  }

  void setIssuedToken(int number, long stamp) {
    issuedTokens[number] = stamp;
  }

  /** Returns the stamp of the next lease, past {@code floor} and all that are known here. */
  long nextToken(int number, long floor) {
    return FencingTokens.nextLease(Math.max(floor, Math.max(latestTokens[number], issuedTokens[number])));
  }

  void raiseLatestToken(int number, long stamp) {
    latestTokens[number] = Math.max(latestTokens[number], stamp);
  }

  /** Takes stamps past those of the same limit in the zone that it left. */
  void continueTokens(LimitState old) {
    ensureTracked(old.trackedCount());
    for (int number = 0; number < old.trackedCount(); number++) {
      latestTokens[number] = FencingTokens.afterZoneChange(Math.max(old.latestTokens[number], old.issuedTokens[number]));
    }
  }

  /** Returns whether a permit that is out was leased by this owner or a named earlier one. */
  boolean isLeasedOut(int number) {
    return leasedOut[number];
  }

  /** The owner has the permit at hand. */
  void markHeldByOwner(int number, long nowNanos) {
    int before = countedFlags(number);
    ownership[number] = HELD_BY_OWNER;
    blockedUntilNanos[number] = 0;
    idleSinceNanos[number] = nowNanos;
    updateCounts(number, before);
  }

  /** The permit of this owner is unusable until {@code untilNanos}. */
  void markUnusable(int number, long untilNanos) {
    markBlocked(number, untilNanos, false);
  }

  /** The permit of this owner is leased until {@code untilNanos}. */
  void markLeasedOut(int number, long untilNanos) {
    markBlocked(number, untilNanos, true);
  }

  private void markBlocked(int number, long untilNanos, boolean isIssued) {
    int before = countedFlags(number);
    ownership[number] = BLOCKED;
    leasedOut[number] = isIssued;
    blockedUntilNanos[number] = untilNanos;
    updateCounts(number, before);
  }

  /** Prolongs the time for which the permit is out. */
  void extendBlock(int number, long untilNanos) {
    blockedUntilNanos[number] = Math.max(blockedUntilNanos[number], untilNanos);
  }

  /** This VM owns the permit no more; a use that runs goes on as on a lease. */
  void loseOwnership(int number, VmIncarnation newOwner) {
    int before = countedFlags(number);
    if (ownership[number] == HELD_BY_OWNER && isInUse(number) && !leaseHeld[number]) {
      leaseHeld[number] = true;
      leaseExpiryNanos[number] = useExpiryNanos[number];
      issuers[number] = newOwner;
    }
    ownership[number] = NOT_OWNED;
    blockedUntilNanos[number] = 0;
    updateCounts(number, before);
  }

  /** This VM holds a lease of the permit. */
  void holdLease(int number, long untilNanos, long stamp, VmIncarnation issuer, long nowNanos) {
    int before = countedFlags(number);
    leaseHeld[number] = true;
    leaseExpiryNanos[number] = untilNanos;
    latestTokens[number] = stamp;
    issuers[number] = issuer;
    idleSinceNanos[number] = nowNanos;
    updateCounts(number, before);
  }

  void extendLease(int number, long untilNanos) {
    leaseExpiryNanos[number] = Math.max(leaseExpiryNanos[number], untilNanos);
  }

  /** This VM holds the lease no more. */
  void dropLease(int number) {
    int before = countedFlags(number);
    leaseHeld[number] = false;
    leaseExpiryNanos[number] = 0;
    issuers[number] = null;
    updateCounts(number, before);
  }

  /** A request uses the permit until {@code untilNanos} at the latest. */
  void markInUse(int number, long requestId, long untilNanos) {
    int before = countedFlags(number);
    useExpiryNanos[number] = untilNanos;
    requestIds[number] = requestId;
    updateCounts(number, before);
  }

  /** The request ended, but its slot may be occupied until the end of the use. */
  void clearRequest(int number) {
    requestIds[number] = NO_REQUEST;
  }

  /** Nobody uses the permit. */
  void clearUse(int number, long nowNanos) {
    int before = countedFlags(number);
    useExpiryNanos[number] = 0;
    requestIds[number] = NO_REQUEST;
    idleSinceNanos[number] = nowNanos;
    updateCounts(number, before);
  }

  private int countedFlags(int number) {
    return (isAvailable(number) ? 1 : 0) + (isActive(number) ? 2 : 0);
  }

  private void updateCounts(int number, int before) {
    availableCount += (isAvailable(number) ? 1 : 0) - (before & 1);
    activeCount += (isActive(number) ? 1 : 0) - (before >> 1);
  }

  private boolean isActive(int number) {
    return ownership[number] != NOT_OWNED || leaseHeld[number] || useExpiryNanos[number] != 0;
  }
}
