package org.mustardstage.core.drain;

/** How far a leaving endpoint is on its way to empty. */
public sealed interface DrainState {
  /** Returns when the endpoint began to leave. */
  long sinceNanos();

  /** Returns the state after {@code slotsInUse} were seen. */
  DrainState next(long nowNanos, int slotsInUse);

  /**
   * Requests still run there.
   *
   * @param sinceNanos when it began to leave
   * @param slotsInUse the slots last seen in use
   */
  record Running(long sinceNanos, int slotsInUse) implements DrainState {
    static Running since(long nowNanos) {
      return new Running(nowNanos, 0);
    }

    @Override
    public DrainState next(long nowNanos, int slotsInUse) {
      return slotsInUse == 0
          ? new Empty(sinceNanos, nowNanos)
          : new Running(sinceNanos, slotsInUse);
    }
  }

  /**
   * No request runs there any more.
   *
   * @param sinceNanos when it began to leave
   * @param emptyNanos when its last request ended
   */
  record Empty(long sinceNanos, long emptyNanos) implements DrainState {
    @Override
    public DrainState next(long nowNanos, int slotsInUse) {
      return slotsInUse == 0 ? this : new Running(sinceNanos, slotsInUse);
    }
  }
}
