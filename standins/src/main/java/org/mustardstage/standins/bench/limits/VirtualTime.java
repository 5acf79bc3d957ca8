package org.mustardstage.standins.bench.limits;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs tasks in the order of a virtual time. */
final class VirtualTime {
  private static final Comparator<Event> ORDER =
      Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence);

  private final PriorityQueue<Event> events = new PriorityQueue<>(ORDER);
  private long nowNanos;
  private long lastSequence;

  private record Event(long atNanos, long sequence, Runnable task) {}

  long nowNanos() {
    return nowNanos;
  }

  void after(long delayNanos, Runnable task) {
    events.add(new Event(nowNanos + delayNanos, ++lastSequence, task));
  }

  void runUntil(long untilNanos) {
    while (!events.isEmpty() && events.peek().atNanos() <= untilNanos) {
      Event event = events.poll();
      nowNanos = event.atNanos();
      event.task().run();
    }
    nowNanos = untilNanos;
  }
}
