package org.mustardstage.core.drain;

/** How far a leaving endpoint is on its way to empty. */
public sealed interface DrainState {
  /** Returns when the endpoint began to leave. */
  long startNanos();

  /**
   * Returns the state after {@code slotsInUse} were seen.
   *
   * @param settleNanos how long no slot must be in use until the endpoint counts as empty
   */
  DrainState next(long nowNanos, int slotsInUse, long settleNanos);

  /**
   * Requests still run there.
   *
   * @param sinceNanos when it began to leave
   * @param slotsInUse the slots last seen in use
   */
  record Draining(long startNanos, int slotsInUse) implements DrainState {
    @Override
    public DrainState next(long nowNanos, int nowInUse, long settleNanos) {
      return nowInUse == 0 ? new Settling(startNanos, nowNanos) : new Draining(startNanos, nowInUse);
    }
  }

  /**
   * No request runs there, but an entry VM that does not know yet may still send one.
   *
   * @param sinceNanos when it began to leave
   * @param quietNanos when its last request so far ended
   */
  record Settling(long startNanos, long lastRequestEndNanos) implements DrainState {
    @Override
    public DrainState next(long nowNanos, int slotsInUse, long settleNanos) {
      if (slotsInUse > 0) {
        return new Draining(startNanos, slotsInUse);
      }
      boolean settled = nowNanos - lastRequestEndNanos >= settleNanos;
      return settled ? new Drained(startNanos, lastRequestEndNanos) : this;
    }
  }

  /**
   * It got no request for the settling time: it may be stopped.
   *
   * @param sinceNanos when it began to leave
   * @param emptyNanos when its last request ended
   */
  record Drained(long startNanos, long lastRequestEndNanos) implements DrainState {
    @Override
    public DrainState next(long nowNanos, int slotsInUse, long settleNanos) {
      return slotsInUse == 0 ? this : new Draining(startNanos, slotsInUse);
    }
  }
}
