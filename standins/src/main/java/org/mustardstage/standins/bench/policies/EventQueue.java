package org.mustardstage.standins.bench.policies;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs events in the order of their virtual time. */
final class EventQueue {
  private static final Comparator<Event> ORDER =
      Comparator.comparingLong(Event::timeNanos).thenComparingLong(Event::number);

  private final PriorityQueue<Event> events = new PriorityQueue<>(ORDER);
  private long nowNanos;
  private long nextNumber;

  long nowNanos() {
    return nowNanos;
  }

  void after(long delayNanos, Runnable action) {
    events.add(new Event(nowNanos + delayNanos, nextNumber++, action));
  }

  void runUntil(long endNanos) {
    while (!events.isEmpty() && events.peek().timeNanos() <= endNanos) {
      Event event = events.poll();
      nowNanos = event.timeNanos();
      event.action().run();
    }
    nowNanos = endNanos;
  }

  private record Event(long timeNanos, long number, Runnable action) {}
}
