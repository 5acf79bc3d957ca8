package org.mustardstage.standins.bench.policies;

/** How the entry VMs of a run decide. */
enum Policy {
  /** The classes of the core: router, queue, permits. */
  MUSTARDSTAGE("mustardstage"),
  /** Permits and a plain queue, first in first out, without bounds or deadlines. */
  PLAIN_QUEUE("plain queue"),
  /** Each endpoint in turn, sent at once. */
  ROUND_ROBIN("round robin"),
  /** Any endpoint, sent at once. */
  RANDOM("random"),
  /** The less loaded of two random endpoints by the entry VM's own requests, sent at once. */
  POWER_OF_TWO("power of two"),
  /** The endpoint with the fewest requests of the entry VM, sent at once. */
  LEAST_LOCAL_LOAD("least local load");

  private final String label;

  Policy(String label) {
    this.label = label;
  }

  String label() {
    return label;
  }
}
