package org.mustardstage.core.permit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** The queued requests of this VM, ordered by deadline. */
final class WaitQueue {
  private static final Comparator<Waiter> ORDER =
      Comparator.comparingLong(Waiter::useDeadlineNanos).thenComparingLong(Waiter::requestId);

  private final TreeSet<Waiter> waiters = new TreeSet<>(ORDER);
  private final Map<Long, Waiter> byRequest = new HashMap<>();
  private final Map<LimitId, Integer> waiterCounts = new HashMap<>();
  private final int capacity;

  /**
   * A queued request.
   *
   * @param requestId the request
   * @param candidates the limits whose permits it accepts, the preferred one first
   * @param candidateSet the same limits as a set
   * @param useDeadlineNanos the latest time for which it uses the permit
   * @param waitDeadlineNanos when it is removed from the queue
   * @param enqueuedNanos when it was enqueued
   */
  record Waiter(
      long requestId,
      List<LimitId> candidates,
      Set<LimitId> candidateSet,
      long useDeadlineNanos,
      long waitDeadlineNanos,
      long enqueuedNanos) {
    static Waiter of(AcquireRequest request, long useDeadlineNanos, long nowNanos) {
      return new Waiter(
          request.requestId(),
          request.candidates(),
          new HashSet<>(request.candidates()),
          useDeadlineNanos,
          Math.min(request.waitDeadlineNanos(), useDeadlineNanos),
          nowNanos);
    }
  }

  WaitQueue(int capacity) {
    this.capacity = capacity;
  }

  boolean isFull() {
    return waiters.size() >= capacity;
  }

  boolean isEmpty() {
    return waiters.isEmpty();
  }

  int size() {
    return waiters.size();
  }

  boolean contains(long requestId) {
    return byRequest.containsKey(requestId);
  }

  void add(Waiter waiter) {
    waiters.add(waiter);
    byRequest.put(waiter.requestId(), waiter);
    for (LimitId limit : waiter.candidateSet()) {
      waiterCounts.merge(limit, 1, Integer::sum);
    }
  }

  /** Removes the request, and returns whether it was queued. */
  boolean remove(long requestId) {
    Waiter waiter = byRequest.remove(requestId);
    if (waiter == null) {
      return false;
    }
    waiters.remove(waiter);
    for (LimitId limit : waiter.candidateSet()) {
      waiterCounts.merge(limit, -1, (count, decrement) -> count == 1 ? null : count + decrement);
    }
    return true;
  }

  /** Returns whether a request is queued for a permit of {@code limit}. */
  boolean hasWaiterFor(LimitId limit) {
    return waiterCounts.containsKey(limit);
  }

  /** Returns the request for {@code limit} with the earliest deadline, or null. */
  Waiter earliestFor(LimitId limit) {
    if (!hasWaiterFor(limit)) {
      return null;
    }
    for (Waiter waiter : waiters) {
      if (waiter.candidateSet().contains(limit)) {
        return waiter;
      }
    }
    return null;
  }

  /** Returns the queued requests, ordered by deadline. */
  Collection<Waiter> all() {
    return Collections.unmodifiableSet(waiters);
  }

  /** Removes and returns the requests whose wait deadline has passed. */
  List<Waiter> removeTimedOut(long nowNanos) {
    List<Waiter> timedOut = new ArrayList<>();
    for (Waiter waiter : waiters) {
      if (waiter.waitDeadlineNanos() <= nowNanos) {
        timedOut.add(waiter);
      }
    }
    timedOut.forEach(waiter -> remove(waiter.requestId()));
    return timedOut;
  }
}
