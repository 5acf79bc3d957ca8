package org.mustardstage.core.permit;

/** Counts permits by their state. */
final class StatusCounter {
  private final PermitTable table;
  private final long nowNanos;
  private int owned;
  private int leasedOut;
  private int leasedIn;
  private int unusable;
  private int idle;

  /** The counts that do not come from the table. */
  record Totals(
      int inUse,
      int waiting,
      int peersWaiting,
      long granted,
      long notGranted,
      long messagesSent,
      long messagesReceived) {}

  StatusCounter(PermitTable table, long nowNanos) {
    this.table = table;
    this.nowNanos = nowNanos;
  }

  /** Returns the counts of one agent. */
  PermitStatus count(ZoneOwnership ownership, Totals totals) {
    table.all().forEach(this::countLimit);
    return new PermitStatus(
        ownership.revision(),
        ownership.isConfirmed(nowNanos),
        ownership.countOwned(),
        owned,
        leasedOut,
        unusable,
        leasedIn,
        idle,
        totals.inUse(),
        totals.waiting(),
        totals.peersWaiting(),
        totals.granted(),
        totals.notGranted(),
        totals.messagesSent(),
        totals.messagesReceived());
  }

  private void countLimit(LimitState limit) {
    idle += limit.available();
    for (int number = 0; number < limit.tracked(); number++) {
      owned += limit.isOwned(number) ? 1 : 0;
      leasedIn += limit.isLeased(number) ? 1 : 0;
      boolean isOut = limit.isOut(number);
      leasedOut += isOut && limit.isIssued(number) ? 1 : 0;
      unusable += isOut && !limit.isIssued(number) ? 1 : 0;
    }
  }
}
