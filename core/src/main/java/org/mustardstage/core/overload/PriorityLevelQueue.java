package org.mustardstage.core.overload;

import java.util.LinkedHashMap;

/**
 * The queued requests of one priority, in order of arrival. While not empty, the queue earns credit
 * for each departure from another level; a full credit entitles it to the next departure.
 */
final class PriorityLevelQueue {
  private static final double CREDIT_PER_REQUEST = 1;

  private final double minShare;
  private final LinkedHashMap<Long, QueuedRequest> entries = new LinkedHashMap<>();
  private final ServiceTimeEstimator serviceTime = new ServiceTimeEstimator();
  private double credit;

  /**
   * Creates an empty queue.
   *
   * @param minShare the credit earned for each departure from another level, and so about the
   *     smallest share of departures that this level gets while it is not empty
   */
  PriorityLevelQueue(double minShare) {
    this.minShare = minShare;
  }

  boolean add(QueuedRequest request) {
    return entries.putIfAbsent(request.requestId(), request) == null;
  }

  void remove(long requestId) {
    entries.remove(requestId);
    if (entries.isEmpty()) {
      credit = 0;
    }
  }

  /** Returns the request with {@code requestId}, or null when it is not queued here. */
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

  /** Earns credit for a departure from another level. */
  void addCredit() {
    credit = isEmpty() ? 0 : credit + minShare;
  }

  /** Pays for a departure from this level. */
  void spendCredit() {
    credit = Math.max(0, credit - CREDIT_PER_REQUEST);
  }
}
