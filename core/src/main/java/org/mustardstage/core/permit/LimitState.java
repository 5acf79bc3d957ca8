package org.mustardstage.core.permit;

import java.util.Arrays;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;

/**
 * The state of the permits of one limit, as one agent knows it. Each permit has three independent
 * parts of state here: this VM may own it, and then either hold it or be blocked from using it
 * until some time; this VM may hold a lease of it; and a request of this VM may use it.
 */
final class LimitState {
  /** The request id of a permit that no request uses. */
  static final long NO_REQUEST = Long.MIN_VALUE;

  // Ownership of a permit by this VM. BLOCKED: leased out, or possibly in use by an unknown
  // request.
  private static final byte NOT_OWNED = 0;
  private static final byte HELD_BY_OWNER = 1;
  private static final byte BLOCKED = 2;

  final LimitId id;
  final ZoneId zone;
  VmIncarnation allocator;
  // The VM that asked last for idle permits of this limit, and until when it gets them.
  VmIncarnation permitsWantedBy;
  long permitsWantedUntilNanos;
  long permitsWantedSentNanos = Long.MIN_VALUE / 2;
  private final int partOfFirstPermit;
  private int permits;
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

  /** Returns the number of permits under the active manifest. */
  int permits() {
    return permits;
  }

  /** Returns how many permit numbers are tracked; more than the limit has after it was reduced. */
  int trackedCount() {
    return ownership.length;
  }

  /** Returns how many permits within the limit are held here and not in use. */
  int availableCount() {
    return availableCount;
  }

  /** Returns whether no permit is owned, leased or in use here. */
  boolean isInactive() {
    return activeCount == 0;
  }

  /** Sets the number of permits of the limit. */
  void resize(int newPermits) {
    permits = newPermits;
    ensureTracked(newPermits);
    availableCount = 0;
    for (int number = 0; number < trackedCount(); number++) {
      availableCount += isAvailable(number) ? 1 : 0;
    }
  }

  /** Tracks at least the permits with numbers below {@code count}. */
  void ensureTracked(int count) {
    int previous = trackedCount();
    if (count <= previous) {
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
    Arrays.fill(requestIds, previous, count, NO_REQUEST);
  }

  /** Returns whether the permit is within the limit, held here and not in use. */
  boolean isAvailable(int number) {
    return number < permits && useExpiryNanos[number] == 0 && isHeld(number);
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

  /** Returns the largest fencing token of the permit that this VM has accepted or issued. */
  long latestToken(int number) {
    return latestTokens[number];
  }

  long requestId(int number) {
    return requestIds[number];
  }

  VmIncarnation issuer(int number) {
    return issuers[number];
  }

  /** Returns the fencing token of the lease that was issued last. */
  long issuedToken(int number) {
    return issuedTokens[number];
  }

  void setIssuedToken(int number, long token) {
    issuedTokens[number] = token;
  }

  /** Returns the fencing token of the next lease, above {@code floor} and all tokens known here. */
  long nextToken(int number, long floor) {
    return FencingTokens.nextLease(
        Math.max(floor, Math.max(latestTokens[number], issuedTokens[number])));
  }

  void raiseLatestToken(int number, long token) {
    latestTokens[number] = Math.max(latestTokens[number], token);
  }

  /**
   * Sets the fencing tokens above those that were issued for this limit in the zone that it moved
   * from, so that leases of that zone are rejected.
   */
  void continueTokens(LimitState previous) {
    ensureTracked(previous.trackedCount());
    for (int number = 0; number < previous.trackedCount(); number++) {
      latestTokens[number] =
          FencingTokens.afterZoneChange(
              Math.max(previous.latestTokens[number], previous.issuedTokens[number]));
    }
  }

  /**
   * Returns whether a blocked permit is leased out, by this owner or an earlier one that handed it
   * over.
   */
  boolean isLeasedOut(int number) {
    return leasedOut[number];
  }

  /** Records that this VM, as the owner, holds the permit. */
  void markHeldByOwner(int number, long nowNanos) {
    int flagsBefore = countedFlags(number);
    ownership[number] = HELD_BY_OWNER;
    blockedUntilNanos[number] = 0;
    idleSinceNanos[number] = nowNanos;
    updateCounts(number, flagsBefore);
  }

  /**
   * Blocks the owned permit until {@code untilNanos} because unknown uses or leases may be running.
   */
  void markUnusable(int number, long untilNanos) {
    markBlocked(number, untilNanos, false);
  }

  /** Records that the owned permit is leased out until {@code untilNanos}. */
  void markLeasedOut(int number, long untilNanos) {
    markBlocked(number, untilNanos, true);
  }

  private void markBlocked(int number, long untilNanos, boolean isLeasedOut) {
    int flagsBefore = countedFlags(number);
    ownership[number] = BLOCKED;
    leasedOut[number] = isLeasedOut;
    blockedUntilNanos[number] = untilNanos;
    updateCounts(number, flagsBefore);
  }

  /** Extends the time until which the owned permit is blocked. */
  void extendBlock(int number, long untilNanos) {
    blockedUntilNanos[number] = Math.max(blockedUntilNanos[number], untilNanos);
  }

  /**
   * Records that this VM no longer owns the permit; a running use continues as under a lease of the
   * new owner.
   */
  void loseOwnership(int number, VmIncarnation newOwner) {
    int flagsBefore = countedFlags(number);
    if (ownership[number] == HELD_BY_OWNER && isInUse(number) && !leaseHeld[number]) {
      leaseHeld[number] = true;
      leaseExpiryNanos[number] = useExpiryNanos[number];
      issuers[number] = newOwner;
    }
    ownership[number] = NOT_OWNED;
    blockedUntilNanos[number] = 0;
    updateCounts(number, flagsBefore);
  }

  /** Records that this VM holds a lease of the permit. */
  void holdLease(int number, long untilNanos, long token, VmIncarnation issuer, long nowNanos) {
    int flagsBefore = countedFlags(number);
    leaseHeld[number] = true;
    leaseExpiryNanos[number] = untilNanos;
    latestTokens[number] = token;
    issuers[number] = issuer;
    idleSinceNanos[number] = nowNanos;
    updateCounts(number, flagsBefore);
  }

  void extendLease(int number, long untilNanos) {
    leaseExpiryNanos[number] = Math.max(leaseExpiryNanos[number], untilNanos);
  }

  /** Records that this VM no longer holds a lease of the permit. */
  void dropLease(int number) {
    int flagsBefore = countedFlags(number);
    leaseHeld[number] = false;
    leaseExpiryNanos[number] = 0;
    issuers[number] = null;
    updateCounts(number, flagsBefore);
  }

  /** Records that a request uses the permit until {@code untilNanos} at the latest. */
  void markInUse(int number, long requestId, long untilNanos) {
    int flagsBefore = countedFlags(number);
    useExpiryNanos[number] = untilNanos;
    requestIds[number] = requestId;
    updateCounts(number, flagsBefore);
  }

  /**
   * Forgets the request that used the permit; the permit stays in use until its expiry, because the
   * request may still occupy the slot.
   */
  void clearRequest(int number) {
    requestIds[number] = NO_REQUEST;
  }

  /** Records that no request uses the permit. */
  void clearUse(int number, long nowNanos) {
    int flagsBefore = countedFlags(number);
    useExpiryNanos[number] = 0;
    requestIds[number] = NO_REQUEST;
    idleSinceNanos[number] = nowNanos;
    updateCounts(number, flagsBefore);
  }

  /** Returns how the permit is counted: bit 0 if it is available, bit 1 if it is active. */
  private int countedFlags(int number) {
    return (isAvailable(number) ? 1 : 0) + (isActive(number) ? 2 : 0);
  }

  private void updateCounts(int number, int flagsBefore) {
    availableCount += (isAvailable(number) ? 1 : 0) - (flagsBefore & 1);
    activeCount += (isActive(number) ? 1 : 0) - (flagsBefore >> 1);
  }

  private boolean isActive(int number) {
    return ownership[number] != NOT_OWNED || leaseHeld[number] || useExpiryNanos[number] != 0;
  }
}
