package org.mustardstage.standins.bench.policies;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.mustardstage.core.id.EndpointId;

/** An endpoint with slots, and a queue of its own for requests beyond them. */
final class ModelEndpoint {
  private static final int MAX_CONNECTIONS = 700;

  final EndpointId id;
  final int zone;
  final int slots;
  private final EventQueue events;
  private final Deque<Work> queue = new ArrayDeque<>();
  double slowFactor = 1;
  boolean lies;
  boolean draining;
  private int running;
  private int reserved;
  private long lastStartNanos;
  private long submitted;
  private long busySinceNanos;
  private double busySlotNanos;
  private long windowStartNanos;

  ModelEndpoint(EventQueue events, int number, int zone, int slots) {
    this.events = events;
    this.id = new EndpointId("e" + number);
    this.zone = zone;
    this.slots = slots;
  }

  int region() {
    return zone / (ModelService.ZONES / ModelService.REGIONS);
  }

  /** Takes a permit when one is free. */
  boolean tryReserve() {
    if (reserved >= slots) {
      return false;
    }
    reserved++;
    return true;
  }

  void release() {
    reserved--;
  }

  /** Runs a request, at once or when a slot is free; {@code onEnd} gets whether it ran. */
  void submit(Attempt attempt, Consumer<Boolean> onEnd) {
    Work work = new Work(attempt, onEnd);
    lastStartNanos = events.nowNanos();
    submitted++;
    if (running < slots) {
      start(work);
    } else if (running + queue.size() < MAX_CONNECTIONS) {
      queue.add(work);
    } else {
      onEnd.accept(false);
    }
  }

  /** Returns the share of its slots that it reports as used. */
  double reportedShare() {
    return lies ? 0 : (double) running / slots;
  }

  int inUse() {
    return running + queue.size();
  }

  long lastStartNanos() {
    return lastStartNanos;
  }

  long submitted() {
    return submitted;
  }

  int reserved() {
    return reserved;
  }

  /** Returns the mean share of slots in use since the last call. */
  double takeUsedShare() {
    long nowNanos = events.nowNanos();
    countBusy();
    double share = busySlotNanos / slots / Math.max(1, nowNanos - windowStartNanos);
    busySlotNanos = 0;
    windowStartNanos = nowNanos;
    return share;
  }

  private void start(Work work) {
    countBusy();
    running++;
    long nanos = (long) (work.attempt().serviceNanos * slowFactor);
    events.after(nanos, () -> end(work));
  }

  private void end(Work work) {
    countBusy();
    running--;
    work.onEnd().accept(true);
    if (!queue.isEmpty()) {
      start(queue.poll());
    }
  }

  private void countBusy() {
    busySlotNanos += (double) running * (events.nowNanos() - busySinceNanos);
    busySinceNanos = events.nowNanos();
  }

  private record Work(Attempt attempt, Consumer<Boolean> onEnd) {}
}
