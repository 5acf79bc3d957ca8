package org.mustardstage.core.drain;

/** The progress of a draining endpoint. */
public sealed interface DrainState {
  /** Returns when the endpoint began to drain. */
  long startNanos();

  /**
   * Returns the state that follows this one.
   *
   * @param slotsInUse the number of slots in use at {@code nowNanos}
   * @param settleNanos how long no slot must be in use until the endpoint counts as drained
   */
  DrainState next(long nowNanos, int slotsInUse, long settleNanos);

  /**
   * Requests still run at the endpoint.
   *
   * @param startNanos when it began to drain
   * @param slotsInUse the number of slots last seen in use
   */
  record Draining(long startNanos, int slotsInUse) implements DrainState {
    @Override
    public DrainState next(long nowNanos, int newSlotsInUse, long settleNanos) {
      return newSlotsInUse == 0
          ? new Settling(startNanos, nowNanos)
          : new Draining(startNanos, newSlotsInUse);
    }
  }

  /**
   * No request runs at the endpoint, but an entry VM that does not know of the drain yet may still
   * send one.
   *
   * @param startNanos when it began to drain
   * @param lastRequestEndNanos when its last request so far ended
   */
  record Settling(long startNanos, long lastRequestEndNanos) implements DrainState {
    @Override
    public DrainState next(long nowNanos, int slotsInUse, long settleNanos) {
      if (slotsInUse > 0) {
        return new Draining(startNanos, slotsInUse);
      }
      boolean isSettled = nowNanos - lastRequestEndNanos >= settleNanos;
      return isSettled ? new Drained(startNanos, lastRequestEndNanos) : this;
    }
  }

  /**
   * The endpoint got no request for the settling time, so it may be stopped.
   *
   * @param startNanos when it began to drain
   * @param lastRequestEndNanos when its last request ended
   */
  record Drained(long startNanos, long lastRequestEndNanos) implements DrainState {
    @Override
    public DrainState next(long nowNanos, int slotsInUse, long settleNanos) {
      return slotsInUse == 0 ? this : new Draining(startNanos, slotsInUse);
    }
  }
}
