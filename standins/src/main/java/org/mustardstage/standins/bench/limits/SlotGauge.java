package org.mustardstage.standins.bench.limits;

/** Integrates over time how many slots are idle while requests wait. */
final class SlotGauge {
  private final VirtualTimeScheduler scheduler;
  private final int slots;
  private long lastUpdateNanos;
  private long startNanos;
  private double idleSlotNanosWhileWaiting;
  private int running;
  private int waiting;

  SlotGauge(VirtualTimeScheduler scheduler, int slots) {
    this.scheduler = scheduler;
    this.slots = slots;
  }

  void addRunning(int change) {
    accumulate();
    running += change;
  }

  void addWaiting(int change) {
    accumulate();
    waiting += change;
  }

  int running() {
    return running;
  }

  private void accumulate() {
    long nowNanos = scheduler.nowNanos();
    if (waiting > 0) {
      idleSlotNanosWhileWaiting += (double) (nowNanos - lastUpdateNanos) * (slots - running);
    }
    lastUpdateNanos = nowNanos;
  }

  /** Discards the measurement so far. */
  void reset() {
    accumulate();
    idleSlotNanosWhileWaiting = 0;
    startNanos = scheduler.nowNanos();
  }

  /** Returns the fraction of all slot time that was idle while a request waited. */
  double idleWhileWaitingShare() {
    accumulate();
    return idleSlotNanosWhileWaiting / ((double) slots * (scheduler.nowNanos() - startNanos));
  }
}
