package org.mustardstage.standins.bench.limits;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs tasks in the order of their virtual due time; tasks due at the same time run in FIFO order.
 */
final class VirtualTimeScheduler {
  private static final Comparator<Event> ORDER =
      Comparator.comparingLong(Event::dueNanos).thenComparingLong(Event::sequence);

  private final PriorityQueue<Event> events = new PriorityQueue<>(ORDER);
  private long nowNanos;
  private long lastSequence;

  private record Event(long dueNanos, long sequence, Runnable task) {}

  long nowNanos() {
    return nowNanos;
  }

  void schedule(long delayNanos, Runnable task) {
    events.add(new Event(nowNanos + delayNanos, ++lastSequence, task));
  }

  void runUntil(long untilNanos) {
    while (!events.isEmpty() && events.peek().dueNanos() <= untilNanos) {
      Event event = events.poll();
      nowNanos = event.dueNanos();
      event.task().run();
    }
    nowNanos = untilNanos;
  }
}
