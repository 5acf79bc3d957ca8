package org.mustardstage.core.overload;

import java.util.LinkedHashMap;

/** The requests of one priority that wait, in the order in which they came. */
final class Lane {
  private static final double TURN = 1;

  private final double share;
  private final LinkedHashMap<Long, Waiting> entries = new LinkedHashMap<>();
  private final ServiceTime serviceTime = new ServiceTime();
  private double savedTurns;

  /** Creates an empty lane that keeps {@code share} of the turns while requests wait in it. */
  Lane(double share) {
    this.share = share;
  }

  boolean add(Waiting waiting) {
    return entries.putIfAbsent(waiting.requestId(), waiting) == null;
  }

  void remove(long requestId) {
    entries.remove(requestId);
    if (entries.isEmpty()) {
      savedTurns = 0;
    }
  }

  /** Returns the request with {@code requestId}, or null when it does not wait here. */
  Waiting get(long requestId) {
    return entries.get(requestId);
  }

  Waiting oldest() {
    return entries.firstEntry().getValue();
  }

  Waiting newest() {
    return entries.lastEntry().getValue();
  }

  ServiceTime serviceTime() {
    return serviceTime;
  }

  int size() {
    return entries.size();
  }

  boolean isEmpty() {
    return entries.isEmpty();
  }

  boolean hasSavedTurn() {
    return !isEmpty() && savedTurns >= TURN;
  }

  /** Notes that a request of another lane had its turn. */
  void saveTurn() {
    savedTurns = isEmpty() ? 0 : savedTurns + share;
  }

  /** Notes that a request of this lane had its turn. */
  void useTurn() {
    savedTurns = Math.max(0, savedTurns - TURN);
  }
}
