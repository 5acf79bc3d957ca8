package org.mustardstage.core.permit;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;

/**
 * Endpoints that count their running requests, and record a violation if more run than allowed or
 * if a permit is used by two requests at once.
 */
public final class FakeEndpoints {
  private final EventQueue events;
  private final ToIntFunction<LimitId> allowedRequests;
  private final Map<LimitId, Integer> running = new HashMap<>();
  private final Set<Permit> permitsInUse = new HashSet<>();
  private final Map<LimitId, Integer> maxConcurrent = new HashMap<>();
  private long completed;
  private String violation;

  /**
   * Creates endpoints.
   *
   * @param allowedRequests returns how many requests may run now at the endpoint of a limit
   */
  FakeEndpoints(EventQueue events, ToIntFunction<LimitId> allowedRequests) {
    this.events = events;
    this.allowedRequests = allowedRequests;
  }

  /**
   * Runs a request until its service time has passed, which completes it, or until its deadline.
   */
  public void run(Permit permit, long serviceNanos, long deadlineNanos, Runnable onResponse) {
    LimitId limit = permit.limit();
    if (!permitsInUse.add(permit) && violation == null) {
      violation = permit + " is used by two requests at once at " + events.nowNanos();
    }
    int runningNow = running.merge(limit, 1, Integer::sum);
    maxConcurrent.merge(limit, runningNow, Math::max);
    if (runningNow > allowedRequests.applyAsInt(limit) && violation == null) {
      violation =
          limit
              + ": "
              + runningNow
              + " requests run, allowed are "
              + allowedRequests.applyAsInt(limit)
              + " at "
              + events.nowNanos();
    }
    boolean isCompleted = serviceNanos <= deadlineNanos;
    events.after(
        Math.min(serviceNanos, deadlineNanos),
        () -> {
          permitsInUse.remove(permit);
          running.merge(limit, -1, Integer::sum);
          if (isCompleted) {
            completed++;
            onResponse.run();
          }
        });
  }

  /** Returns the first violation, or null if there was none. */
  public String violation() {
    return violation;
  }

  /** Returns the largest number of requests that ran at once. */
  public int maxConcurrent(LimitId limit) {
    return maxConcurrent.getOrDefault(limit, 0);
  }

  /** Returns how many requests were completed. */
  public long completed() {
    return completed;
  }
}
