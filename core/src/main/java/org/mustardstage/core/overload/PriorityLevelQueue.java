package org.mustardstage.core.overload;

import java.util.LinkedHashMap;

/** The requests of one priority that wait, in the order in which they came. */
final class PriorityLevelQueue {
  private static final double CREDIT_PER_REQUEST = 1;

  private final double minShare;
  private final LinkedHashMap<Long, QueuedRequest> entries = new LinkedHashMap<>();
  private final ServiceTimeEstimator serviceTime = new ServiceTimeEstimator();
  private double credit;

  /** Creates an empty lane that keeps {@code share} of the turns while requests wait in it. */
  PriorityLevelQueue(double share) {
    this.minShare = share;
  }

  boolean add(QueuedRequest waiting) {
    return entries.putIfAbsent(waiting.requestId(), waiting) == null;
  }

  void remove(long requestId) {
    entries.remove(requestId);
    if (entries.isEmpty()) {
      credit = 0;
    }
  }

  /** Returns the request with {@code requestId}, or null when it does not wait here. */
  QueuedRequest get(long requestId) {
    return entries.get(requestId);
  }

  QueuedRequest oldest() {
    return entries.firstEntry().getValue();
  }

  QueuedRequest newest() {
    return entries.lastEntry().getValue();
  }

  ServiceTimeEstimator serviceTime() {
    return serviceTime;
  }

  int size() {
    return entries.size();
  }

  boolean isEmpty() {
    return entries.isEmpty();
  }

  boolean hasCreditForRequest() {
    return !isEmpty() && credit >= CREDIT_PER_REQUEST;
  }

  /** Notes that a request of another lane had its turn. */
  void addCredit() {
    credit = isEmpty() ? 0 : credit + minShare;
  }

  /** Notes that a request of this lane had its turn. */
  void spendCredit() {
    credit = Math.max(0, credit - CREDIT_PER_REQUEST);
  }
}
