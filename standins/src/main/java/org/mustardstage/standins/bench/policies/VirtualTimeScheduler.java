package org.mustardstage.standins.bench.policies;

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
  private long nextSequence;

  long nowNanos() {
    return nowNanos;
  }

  void schedule(long delayNanos, Runnable task) {
    events.add(new Event(nowNanos + delayNanos, nextSequence++, task));
  }

  void runUntil(long endNanos) {
    while (!events.isEmpty() && events.peek().dueNanos() <= endNanos) {
      Event event = events.poll();
      nowNanos = event.dueNanos();
      event.task().run();
    }
    nowNanos = endNanos;
  }

  private record Event(long dueNanos, long sequence, Runnable task) {}
}
