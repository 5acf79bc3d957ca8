package org.mustardstage.standins.bench.policies;

/** How entry VMs queue requests and select endpoints. */
enum EntryVmPolicy {
  /** Uses the router and the request queue of the core, with permits. */
  MUSTARDSTAGE("mustardstage"),
  /** Uses permits and an unbounded FIFO queue without deadlines. */
  PLAIN_QUEUE("plain queue"),
  /** Sends at once, to the endpoints in turn. */
  ROUND_ROBIN("round robin"),
  /** Sends at once, to a random endpoint. */
  RANDOM("random"),
  /** Sends at once, to the one of two random endpoints with fewer requests from this entry VM. */
  POWER_OF_TWO("power of two"),
  /** Sends at once, to the endpoint with the fewest requests from this entry VM. */
  LEAST_LOCAL_LOAD("least local load");

  private final String label;

  EntryVmPolicy(String label) {
    this.label = label;
  }

  String label() {
    return label;
  }
}
