package org.mustardstage.standins.endpoint;

import java.util.ArrayDeque;
import java.util.Deque;

/** Counts the slots in use, also as they were some time ago. */
final class SlotMeter {
  private static final int MAX_CHANGES = 100_000;

  private final int slots;
  private final Deque<Change> changes = new ArrayDeque<>();
  private int inUse;
  private long maxPresent;
  private long violations;

  SlotMeter(int slots) {
    this.slots = slots;
  }

  /** Notes the arrival of a request; returns whether a slot is free for it. */
  boolean arrive() {
    maxPresent = Math.max(maxPresent, inUse + 1L);
    boolean free = inUse < slots;
    if (!free) {
      violations++;
    }
    return free;
  }

  void take(long nowMillis) {
    change(inUse + 1, nowMillis);
  }

  void release(long nowMillis) {
    change(inUse - 1, nowMillis);
  }

  int slots() {
    return slots;
  }

  int inUse() {
    return inUse;
  }

  long maxPresent() {
    return maxPresent;
  }

  long violations() {
    return violations;
  }

  /** Returns the slots that were in use at {@code timeMillis}. */
  int inUseAt(long timeMillis) {
    return changes.stream()
        .filter(change -> change.timeMillis() <= timeMillis)
        .findFirst()
        .map(Change::inUse)
        .orElse(0);
  }

  private void change(int newInUse, long nowMillis) {
    inUse = newInUse;
    changes.addFirst(new Change(nowMillis, inUse));
    if (changes.size() > MAX_CHANGES) {
      changes.removeLast();
    }
  }

  private record Change(long timeMillis, int inUse) {}
}
