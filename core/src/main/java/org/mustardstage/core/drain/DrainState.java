package org.mustardstage.core.drain;

/** How far a leaving endpoint is on its way to empty. */
public sealed interface DrainState {
  /** Returns when the endpoint began to leave. */
  long sinceNanos();

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
  record Running(long sinceNanos, int slotsInUse) implements DrainState {
    @Override
    public DrainState next(long nowNanos, int nowInUse, long settleNanos) {
      return nowInUse == 0 ? new Quiet(sinceNanos, nowNanos) : new Running(sinceNanos, nowInUse);
    }
  }

  /**
   * No request runs there, but an entry VM that does not know yet may still send one.
   *
   * @param sinceNanos when it began to leave
   * @param quietNanos when its last request so far ended
   */
  record Quiet(long sinceNanos, long quietNanos) implements DrainState {
    @Override
    public DrainState next(long nowNanos, int slotsInUse, long settleNanos) {
      if (slotsInUse > 0) {
        return new Running(sinceNanos, slotsInUse);
      }
      boolean settled = nowNanos - quietNanos >= settleNanos;
      return settled ? new Empty(sinceNanos, quietNanos) : this;
    }
  }

  /**
   * It got no request for the settling time: it may be stopped.
   *
   * @param sinceNanos when it began to leave
   * @param emptyNanos when its last request ended
   */
  record Empty(long sinceNanos, long emptyNanos) implements DrainState {
    @Override
    public DrainState next(long nowNanos, int slotsInUse, long settleNanos) {
      return slotsInUse == 0 ? this : new Running(sinceNanos, slotsInUse);
    }
  }
}
