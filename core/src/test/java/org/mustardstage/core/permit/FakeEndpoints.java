package org.mustardstage.core.permit;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;

/**
 * Counts the requests that run at each endpoint, as the endpoint itself would, and checks that no
 * permit is used twice at once.
 */
public final class FakeEndpoints {
  private final EventQueue events;
  private final ToIntFunction<LimitId> allowed;
  private final Map<LimitId, Integer> running = new HashMap<>();
  private final Set<Permit> used = new HashSet<>();
  private final Map<LimitId, Integer> maxConcurrent = new HashMap<>();
  private long completed;
  private String violation;

  /**
   * Creates endpoints.
   *
   * @param allowed returns how many requests may run now
   */
  FakeEndpoints(EventQueue events, ToIntFunction<LimitId> allowed) {
    this.events = events;
    this.allowed = allowed;
  }

  /** Runs a request that ends by itself or at its deadline, whichever comes first. */
  public void run(Permit permit, long serviceNanos, long deadlineNanos, Runnable onAnswer) {
    LimitId limit = permit.limit();
    if (!used.add(permit) && violation == null) {
      violation = permit + " used twice at " + events.nowNanos();
    }
    int now = running.merge(limit, 1, Integer::sum);
    maxConcurrent.merge(limit, now, Math::max);
    if (now > allowed.applyAsInt(limit) && violation == null) {
      violation =
          limit
              + ": "
              + now
              + " in use of "
              + allowed.applyAsInt(limit)
              + " at "
              + events.nowNanos();
    }
    boolean isAnswered = serviceNanos <= deadlineNanos;
    events.after(
        Math.min(serviceNanos, deadlineNanos),
        () -> {
          used.remove(permit);
          running.merge(limit, -1, Integer::sum);
          if (isAnswered) {
            completed++;
            onAnswer.run();
          }
        });
  }

  /** Returns the first time that a limit was exceeded or a permit used twice, or null. */
  public String violation() {
    return violation;
  }

  /** Returns the most requests that ran at once. */
  public int maxConcurrent(LimitId limit) {
    return maxConcurrent.getOrDefault(limit, 0);
  }

  /** Returns how many requests ran to their end. */
  public long completed() {
    return completed;
  }
}
