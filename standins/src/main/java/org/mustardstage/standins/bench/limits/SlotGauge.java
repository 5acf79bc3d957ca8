package org.mustardstage.standins.bench.limits;

/** Measures how many slots are idle while requests wait, over time. */
final class SlotGauge {
  private final VirtualTime time;
  private final int slots;
  private long sinceNanos;
  private long startNanos;
  private double idleWhileWaiting;
  private int running;
  private int waiting;

  SlotGauge(VirtualTime time, int slots) {
    this.time = time;
    this.slots = slots;
  }

  void addRunning(int change) {
    account();
    running += change;
  }

  void addWaiting(int change) {
    account();
    waiting += change;
  }

  int running() {
    return running;
  }

  private void account() {
    long nowNanos = time.nowNanos();
    if (waiting > 0) {
      idleWhileWaiting += (double) (nowNanos - sinceNanos) * (slots - running);
    }
    sinceNanos = nowNanos;
  }

  /** Starts the measurement anew. */
  void reset() {
    account();
    idleWhileWaiting = 0;
    startNanos = time.nowNanos();
  }

  /** Returns the share of all slot time that was idle while a request waited. */
  double idleWhileWaitingShare() {
    account();
    return idleWhileWaiting / ((double) slots * (time.nowNanos() - startNanos));
  }
}
