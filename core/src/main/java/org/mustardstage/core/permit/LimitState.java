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
  private static final byte AT_HAND = 1;
  private static final byte OUT = 2;

  final LimitId id;
  final ZoneId zone;
  VmIncarnation allocator;
  VmIncarnation wantedBy;
  long wantedUntilNanos;
  long wantedSentNanos = Long.MIN_VALUE / 2;
  private final int firstPart;
  private int permits;
  private int available;
  private int occupied;
  private byte[] ownership = new byte[0];
  private boolean[] issued = new boolean[0];
  private boolean[] leased = new boolean[0];
  private long[] outUntilNanos = new long[0];
  private long[] leaseUntilNanos = new long[0];
  private long[] useUntilNanos = new long[0];
  private long[] idleSinceNanos = new long[0];
  private long[] stamps = new long[0];
  private long[] issuedStamps = new long[0];
  private long[] requests = new long[0];
  private VmIncarnation[] issuers = new VmIncarnation[0];

  LimitState(LimitId id, ZoneId zone) {
    this.id = id;
    this.zone = zone;
    this.firstPart = OwnershipList.partOf(id, 0);
  }

  /** Returns the part of the ownership list that the permit belongs to. */
  int partOf(int number) {
    return OwnershipList.partAfter(firstPart, number);
  }

  /** Returns the number of permits under the manifest in force. */
  int permits() {
    return permits;
  }

  /** Returns how many permit numbers are tracked; more than the limit while it shrinks. */
  int tracked() {
    return ownership.length;
  }

  /** Returns how many permits within the limit are at hand and not used. */
  int available() {
    return available;
  }

  /** Returns whether nothing is owned, leased or used. */
  boolean isUntouched() {
    return occupied == 0;
  }

  /** Takes over the number of permits. */
  void resize(int newPermits) {
    permits = newPermits;
    track(newPermits);
    available = 0;
    for (int number = 0; number < tracked(); number++) {
      available += isAvailable(number) ? 1 : 0;
    }
  }

  /** Tracks at least the permits below {@code count}. */
  void track(int count) {
    int old = tracked();
    if (count <= old) {
      return;
    }
    ownership = Arrays.copyOf(ownership, count);
    issued = Arrays.copyOf(issued, count);
    leased = Arrays.copyOf(leased, count);
    outUntilNanos = Arrays.copyOf(outUntilNanos, count);
    leaseUntilNanos = Arrays.copyOf(leaseUntilNanos, count);
    useUntilNanos = Arrays.copyOf(useUntilNanos, count);
    idleSinceNanos = Arrays.copyOf(idleSinceNanos, count);
    stamps = Arrays.copyOf(stamps, count);
    issuedStamps = Arrays.copyOf(issuedStamps, count);
    requests = Arrays.copyOf(requests, count);
    issuers = Arrays.copyOf(issuers, count);
    Arrays.fill(requests, old, count, NO_REQUEST);
  }

  /** Returns whether the permit is at hand, within the limit and not used. */
  boolean isAvailable(int number) {
    return number < permits && useUntilNanos[number] == 0 && isAtHand(number);
  }

  private boolean isAtHand(int number) {
    return leased[number] || ownership[number] == AT_HAND;
  }

  boolean isLeased(int number) {
    return leased[number];
  }

  boolean isOwned(int number) {
    return ownership[number] != NOT_OWNED;
  }

  boolean isOwnedAtHand(int number) {
    return ownership[number] == AT_HAND;
  }

  boolean isOut(int number) {
    return ownership[number] == OUT;
  }

  boolean isUsed(int number) {
    return useUntilNanos[number] != 0;
  }

  long outUntilNanos(int number) {
    return outUntilNanos[number];
  }

  long leaseUntilNanos(int number) {
    return leaseUntilNanos[number];
  }

  long useUntilNanos(int number) {
    return useUntilNanos[number];
  }

  long idleSinceNanos(int number) {
    return idleSinceNanos[number];
  }

  /** Returns the largest stamp of a lease that this VM held. */
  long stamp(int number) {
    return stamps[number];
  }

  long request(int number) {
    return requests[number];
  }

  VmIncarnation issuer(int number) {
    return issuers[number];
  }

  /** Returns the stamp of the lease that is out, or the largest that was. */
  long issuedStamp(int number) {
    return issuedStamps[number];
  }

  void setIssuedStamp(int number, long stamp) {
    issuedStamps[number] = stamp;
  }

  /** Returns the stamp of the next lease, past {@code floor} and all that are known here. */
  long nextStamp(int number, long floor) {
    return Stamps.nextLease(Math.max(floor, Math.max(stamps[number], issuedStamps[number])));
  }

  void raiseStamp(int number, long stamp) {
    stamps[number] = Math.max(stamps[number], stamp);
  }

  /** Takes stamps past those of the same limit in the zone that it left. */
  void continueStamps(LimitState old) {
    track(old.tracked());
    for (int number = 0; number < old.tracked(); number++) {
      stamps[number] = Stamps.pastZone(Math.max(old.stamps[number], old.issuedStamps[number]));
    }
  }

  /** Returns whether a permit that is out was leased by this owner or a named earlier one. */
  boolean isIssued(int number) {
    return issued[number];
  }

  /** The owner has the permit at hand. */
  void becomeAtHand(int number, long nowNanos) {
    int before = countsBefore(number);
    ownership[number] = AT_HAND;
    outUntilNanos[number] = 0;
    idleSinceNanos[number] = nowNanos;
    countsAfter(number, before);
  }

  /** The permit of this owner is unusable until {@code untilNanos}. */
  void becomeUnusable(int number, long untilNanos) {
    becomeOut(number, untilNanos, false);
  }

  /** The permit of this owner is leased until {@code untilNanos}. */
  void becomeLeasedOut(int number, long untilNanos) {
    becomeOut(number, untilNanos, true);
  }

  private void becomeOut(int number, long untilNanos, boolean isIssued) {
    int before = countsBefore(number);
    ownership[number] = OUT;
    issued[number] = isIssued;
    outUntilNanos[number] = untilNanos;
    countsAfter(number, before);
  }

  /** Prolongs the time for which the permit is out. */
  void prolongOut(int number, long untilNanos) {
    outUntilNanos[number] = Math.max(outUntilNanos[number], untilNanos);
  }

  /** This VM owns the permit no more; a use that runs goes on as on a lease. */
  void loseOwnership(int number, VmIncarnation newOwner) {
    int before = countsBefore(number);
    if (ownership[number] == AT_HAND && isUsed(number) && !leased[number]) {
      leased[number] = true;
      leaseUntilNanos[number] = useUntilNanos[number];
      issuers[number] = newOwner;
    }
    ownership[number] = NOT_OWNED;
    outUntilNanos[number] = 0;
    countsAfter(number, before);
  }

  /** This VM holds a lease of the permit. */
  void hold(int number, long untilNanos, long stamp, VmIncarnation issuer, long nowNanos) {
    int before = countsBefore(number);
    leased[number] = true;
    leaseUntilNanos[number] = untilNanos;
    stamps[number] = stamp;
    issuers[number] = issuer;
    idleSinceNanos[number] = nowNanos;
    countsAfter(number, before);
  }

  void prolongLease(int number, long untilNanos) {
    leaseUntilNanos[number] = Math.max(leaseUntilNanos[number], untilNanos);
  }

  /** This VM holds the lease no more. */
  void dropLease(int number) {
    int before = countsBefore(number);
    leased[number] = false;
    leaseUntilNanos[number] = 0;
    issuers[number] = null;
    countsAfter(number, before);
  }

  /** A request uses the permit until {@code untilNanos} at the latest. */
  void use(int number, long requestId, long untilNanos) {
    int before = countsBefore(number);
    useUntilNanos[number] = untilNanos;
    requests[number] = requestId;
    countsAfter(number, before);
  }

  /** The request ended, but its slot may be occupied until the end of the use. */
  void forgetRequest(int number) {
    requests[number] = NO_REQUEST;
  }

  /** Nobody uses the permit. */
  void endUse(int number, long nowNanos) {
    int before = countsBefore(number);
    useUntilNanos[number] = 0;
    requests[number] = NO_REQUEST;
    idleSinceNanos[number] = nowNanos;
    countsAfter(number, before);
  }

  private int countsBefore(int number) {
    return (isAvailable(number) ? 1 : 0) + (isOccupied(number) ? 2 : 0);
  }

  private void countsAfter(int number, int before) {
    available += (isAvailable(number) ? 1 : 0) - (before & 1);
    occupied += (isOccupied(number) ? 1 : 0) - (before >> 1);
  }

  private boolean isOccupied(int number) {
    return ownership[number] != NOT_OWNED || leased[number] || useUntilNanos[number] != 0;
  }
}
