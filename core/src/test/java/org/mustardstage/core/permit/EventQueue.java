package org.mustardstage.core.permit;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs tasks in the order of their virtual time, and in the order of submission at equal times. */
public final class EventQueue {
  private static final Comparator<Event> ORDER =
      Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence);

  private final PriorityQueue<Event> events = new PriorityQueue<>(ORDER);
  private long nowNanos;
  private long lastSequence;

  private record Event(long atNanos, long sequence, Runnable task) {}

  /** Returns the current virtual time. */
  public long nowNanos() {
    return nowNanos;
  }

  /** Schedules {@code task} at {@code atNanos}, or now if that time has passed. */
  public void at(long atNanos, Runnable task) {
    events.add(new Event(Math.max(atNanos, nowNanos), ++lastSequence, task));
  }

  /** Schedules {@code task} after {@code delayNanos}. */
  public void after(long delayNanos, Runnable task) {
    at(nowNanos + delayNanos, task);
  }

  /** Runs all tasks that are due by {@code untilNanos}, and advances the time to it. */
  public void runUntil(long untilNanos) {
    while (!events.isEmpty() && events.peek().atNanos() <= untilNanos) {
      Event event = events.poll();
      nowNanos = event.atNanos();
      event.task().run();
    }
    nowNanos = untilNanos;
  }
}
