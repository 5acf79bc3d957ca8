package org.mustardstage.core.permit;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToIntFunction;

/** Counts the requests that run at each endpoint, as the endpoint itself would. */
public final class FakeEndpoints {
  private final EventQueue events;
  private final ToIntFunction<LimitId> allowed;
  private final Map<LimitId, Integer> running = new HashMap<>();
  private final Map<LimitId, Integer> most = new HashMap<>();
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
  public void run(LimitId limit, long serviceNanos, long deadlineNanos, Runnable onAnswer) {
    int now = running.merge(limit, 1, Integer::sum);
    most.merge(limit, now, Math::max);
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
          running.merge(limit, -1, Integer::sum);
          if (isAnswered) {
            completed++;
            onAnswer.run();
          }
        });
  }

  /** Returns the first time that a limit was exceeded, or null. */
  public String violation() {
    return violation;
  }

  /** Returns the most requests that ran at once. */
  public int most(LimitId limit) {
    return most.getOrDefault(limit, 0);
  }

  /** Returns how many requests ran to their end. */
  public long completed() {
    return completed;
  }
}
