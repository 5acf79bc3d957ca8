package org.mustardstage.standins.endpoint;

import java.util.ArrayDeque;
import java.util.Deque;

/** Tracks the slots in use, with a history that allows load reports with a delay. */
final class SlotUsage {
  private static final int MAX_SAMPLES = 100_000;

  private final int slots;
  private final Deque<Sample> samples = new ArrayDeque<>();
  private int inUse;
  private long maxSlotsNeeded;
  private long arrivalsWithoutSlot;

  SlotUsage(int slots) {
    this.slots = slots;
  }

  /** Records the arrival of a request; returns whether a slot is free for it. */
  boolean recordArrival() {
    maxSlotsNeeded = Math.max(maxSlotsNeeded, inUse + 1L);
    boolean free = inUse < slots;
    if (!free) {
      arrivalsWithoutSlot++;
    }
    return free;
  }

  void acquire(long nowMillis) {
    addSample(inUse + 1, nowMillis);
  }

  void release(long nowMillis) {
    addSample(inUse - 1, nowMillis);
  }

  int slots() {
    return slots;
  }

  int inUse() {
    return inUse;
  }

  long maxSlotsNeeded() {
    return maxSlotsNeeded;
  }

  long arrivalsWithoutSlot() {
    return arrivalsWithoutSlot;
  }

  /** Returns the number of slots that were in use at {@code timeMillis}. */
  int inUseAt(long timeMillis) {
    return samples.stream()
        .filter(sample -> sample.timeMillis() <= timeMillis)
        .findFirst()
        .map(Sample::inUse)
        .orElse(0);
  }

  private void addSample(int newInUse, long nowMillis) {
    inUse = newInUse;
    samples.addFirst(new Sample(nowMillis, inUse));
    if (samples.size() > MAX_SAMPLES) {
      samples.removeLast();
    }
  }

  private record Sample(long timeMillis, int inUse) {}
}
