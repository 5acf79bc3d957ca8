package org.mustardstage.core.permit;

/** Counts the permits of one agent by their state. */
final class StatusCounter {
  private final LimitTable table;
  private final long nowNanos;
  private int owned;
  private int leasedOut;
  private int leasedIn;
  private int unusable;
  private int idle;

  /** The counts that do not come from the table of limits. */
  record Totals(
      int inUse,
      int requestsWaiting,
      int peerRequestsWaiting,
      long granted,
      long rejected,
      long messagesSent,
      long messagesReceived) {}

  StatusCounter(LimitTable table, long nowNanos) {
    this.table = table;
    this.nowNanos = nowNanos;
  }

  /** Returns the status of one agent. */
  PermitStatus count(ZoneOwnership ownership, Totals totals) {
    table.all().forEach(this::countLimit);
    return new PermitStatus(
        ownership.revision(),
        ownership.isConfirmed(nowNanos),
        ownership.ownedPartCount(),
        owned,
        leasedOut,
        unusable,
        leasedIn,
        idle,
        totals.inUse(),
        totals.requestsWaiting(),
        totals.peerRequestsWaiting(),
        totals.granted(),
        totals.rejected(),
        totals.messagesSent(),
        totals.messagesReceived());
  }

  private void countLimit(LimitState limit) {
    idle += limit.availableCount();
    for (int number = 0; number < limit.trackedCount(); number++) {
      owned += limit.isOwned(number) ? 1 : 0;
      leasedIn += limit.holdsLease(number) ? 1 : 0;
      boolean isBlocked = limit.isBlocked(number);
      leasedOut += isBlocked && limit.isLeasedOut(number) ? 1 : 0;
      unusable += isBlocked && !limit.isLeasedOut(number) ? 1 : 0;
    }
  }
}
