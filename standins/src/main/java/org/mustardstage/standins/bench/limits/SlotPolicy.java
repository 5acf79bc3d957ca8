package org.mustardstage.standins.bench.limits;

/** How entry VMs choose an endpoint for a request. */
interface SlotPolicy {
  /** Starts what runs beside the requests. */
  default void start() {}

  /** Takes a request that arrived at an entry VM. */
  void arrive(int entryVm, long serviceNanos, Runnable onAnswer);

  /** Returns how many messages were sent between entry VMs. */
  default long messages() {
    return 0;
  }

  /** Returns how many requests got no permit. */
  default long refused() {
    return 0;
  }
}
