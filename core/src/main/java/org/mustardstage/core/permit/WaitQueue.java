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

/** The requests of this VM that wait for a permit, first deadline first. */
final class WaitQueue {
  private static final Comparator<Waiter> ORDER =
      Comparator.comparingLong(Waiter::useUntilNanos).thenComparingLong(Waiter::requestId);

  private final TreeSet<Waiter> waiters = new TreeSet<>(ORDER);
  private final Map<Long, Waiter> byRequest = new HashMap<>();
  private final Map<LimitId, Integer> countsByLimit = new HashMap<>();
  private final int capacity;

  /**
   * A request that waits.
   *
   * @param requestId the request
   * @param candidates the limits of which it accepts a permit, the preferred one first
   * @param accepted the same limits as a set
   * @param useUntilNanos the end of its use
   * @param giveUpNanos when it stops waiting
   * @param sinceNanos since when it waits
   */
  record Waiter(
      long requestId,
      List<LimitId> candidates,
      Set<LimitId> accepted,
      long useUntilNanos,
      long giveUpNanos,
      long sinceNanos) {
    static Waiter of(AcquireRequest request, long useUntilNanos, long nowNanos) {
      return new Waiter(
          request.requestId(),
          request.candidates(),
          new HashSet<>(request.candidates()),
          useUntilNanos,
          Math.min(request.waitDeadlineNanos(), useUntilNanos),
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
    for (LimitId limit : waiter.accepted()) {
      countsByLimit.merge(limit, 1, Integer::sum);
    }
  }

  /** Removes the request and returns whether it waited. */
  boolean remove(long requestId) {
    Waiter waiter = byRequest.remove(requestId);
    if (waiter == null) {
      return false;
    }
    waiters.remove(waiter);
    for (LimitId limit : waiter.accepted()) {
      countsByLimit.merge(limit, -1, (count, less) -> count == 1 ? null : count + less);
    }
    return true;
  }

  /** Returns whether a request waits for a permit of {@code limit}. */
  boolean waitsFor(LimitId limit) {
    return countsByLimit.containsKey(limit);
  }

  /** Returns the waiter for {@code limit} with the first deadline, or null. */
  Waiter firstFor(LimitId limit) {
    if (!waitsFor(limit)) {
      return null;
    }
    for (Waiter waiter : waiters) {
      if (waiter.accepted().contains(limit)) {
        return waiter;
      }
    }
    return null;
  }

  /** Returns the waiters, first deadline first. */
  Collection<Waiter> all() {
    return Collections.unmodifiableSet(waiters);
  }

  /** Removes and returns the requests that gave up waiting. */
  List<Waiter> removeGaveUp(long nowNanos) {
    List<Waiter> gaveUp = new ArrayList<>();
    for (Waiter waiter : waiters) {
      if (waiter.giveUpNanos() <= nowNanos) {
        gaveUp.add(waiter);
      }
    }
    gaveUp.forEach(waiter -> remove(waiter.requestId()));
    return gaveUp;
  }
}
