package org.mustardstage.standins.bench.limits;

/** Decides when and to which endpoint an entry VM sends a request. */
interface DispatchPolicy {
  /** Starts the periodic tasks of the policy, if it has any. */
  default void start() {}

  /**
   * Handles a request that arrived at an entry VM; {@code onResponse} runs when its response
   * arrives.
   */
  void handleRequest(int entryVm, long serviceTimeNanos, Runnable onResponse);

  /** Returns the number of messages sent between entry VMs. */
  default long sentMessages() {
    return 0;
  }

  /** Returns the number of requests that were rejected because they got no permit. */
  default long rejectedRequests() {
    return 0;
  }
}
