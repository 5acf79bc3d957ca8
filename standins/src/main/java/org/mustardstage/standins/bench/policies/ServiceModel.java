package org.mustardstage.standins.bench.policies;

import java.util.List;
import java.util.random.RandomGenerator;
import org.mustardstage.core.manifest.Objective;
import org.mustardstage.core.manifest.Priority;

/**
 * A simulated service of one of the deployments, in three regions of two zones each.
 *
 * @param name the name in tables and plots
 * @param objective the routing objective
 * @param endpoints the number of endpoints
 * @param slotsPerEndpoint the slots of each endpoint
 * @param callerOneWayDelayNanos the one-way network delay between a caller and an entry VM
 * @param callTypes the types of calls; their traffic shares add up to 1
 */
record ServiceModel(
    String name,
    Objective objective,
    int endpoints,
    int slotsPerEndpoint,
    long callerOneWayDelayNanos,
    List<CallType> callTypes) {
  static final int REGIONS = 3;
  static final int ZONES = 6;
  static final int ENTRY_VMS = 22;
  private static final long NANOS_PER_MILLI = 1_000_000;

  static final ServiceModel ORDER_DESK =
      new ServiceModel(
          "order desk",
          Objective.LATENCY,
          12,
          9,
          NANOS_PER_MILLI,
          List.of(
              new CallType(Priority.INTERACTIVE, 0.7, 20, 500),
              new CallType(Priority.NON_IDEMPOTENT, 0.3, 40, 2_000)));
  static final ServiceModel PATTERN_LIBRARY =
      new ServiceModel(
          "pattern library",
          Objective.LATENCY,
          18,
          9,
          NANOS_PER_MILLI,
          List.of(
              new CallType(Priority.INTERACTIVE, 0.9, 15, 400),
              new CallType(Priority.BATCH, 0.1, 150, 30_000)));
  static final ServiceModel CREDIT_LEDGER =
      new ServiceModel(
          "credit ledger",
          Objective.HEADROOM,
          16,
          5,
          8 * NANOS_PER_MILLI,
          List.of(
              new CallType(Priority.INTERACTIVE, 0.6, 20, 1_000),
              new CallType(Priority.NON_IDEMPOTENT, 0.3, 40, 3_000),
              new CallType(Priority.BATCH, 0.1, 100, 30_000)));
  static final ServiceModel OFFICE_REPORTING =
      new ServiceModel(
          "office reporting",
          Objective.HEADROOM,
          18,
          4,
          8 * NANOS_PER_MILLI,
          List.of(
              new CallType(Priority.INTERACTIVE, 0.8, 20, 1_000),
              new CallType(Priority.BATCH, 0.2, 100, 30_000)));

  int totalSlots() {
    return endpoints * slotsPerEndpoint;
  }

  /** Returns the requests per second that keep every slot in use. */
  double capacityPerSecond() {
    double meanMillis =
        callTypes.stream().mapToDouble(c -> c.trafficShare() * c.meanServiceTimeMillis()).sum();
    return totalSlots() * 1_000 / meanMillis;
  }

  /** Returns the region of a random caller; callers are distributed over the regions like slots. */
  int drawRegion(RandomGenerator random) {
    return random.nextInt(endpoints) % ZONES / (ZONES / REGIONS);
  }

  CallType drawCallType(RandomGenerator random) {
    double remaining = random.nextDouble();
    for (CallType call : callTypes) {
      remaining -= call.trafficShare();
      if (remaining < 0) {
        return call;
      }
    }
    return callTypes.getLast();
  }
}
