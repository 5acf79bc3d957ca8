package org.mustardstage.core.permit;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs tasks in the order of a virtual time. */
public final class EventQueue {
  private static final Comparator<Event> ORDER =
      Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence);

  private final PriorityQueue<Event> events = new PriorityQueue<>(ORDER);
  private long nowNanos;
  private long lastSequence;

  private record Event(long atNanos, long sequence, Runnable task) {}

  /** Returns the virtual time. */
  public long nowNanos() {
    return nowNanos;
  }

  /** Runs {@code task} at {@code atNanos}, or now if that is past. */
  public void at(long atNanos, Runnable task) {
    events.add(new Event(Math.max(atNanos, nowNanos), ++lastSequence, task));
  }

  /** Runs {@code task} after {@code delayNanos}. */
  public void after(long delayNanos, Runnable task) {
    at(nowNanos + delayNanos, task);
  }

  /** Runs everything that is due until {@code untilNanos}. */
  public void runUntil(long untilNanos) {
    while (!events.isEmpty() && events.peek().atNanos() <= untilNanos) {
      Event event = events.poll();
      nowNanos = event.atNanos();
      event.task().run();
    }
    nowNanos = untilNanos;
  }
}
