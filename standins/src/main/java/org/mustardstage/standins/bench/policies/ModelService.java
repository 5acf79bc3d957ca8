package org.mustardstage.standins.bench.policies;

import java.util.List;
import java.util.random.RandomGenerator;
import org.mustardstage.core.manifest.Objective;
import org.mustardstage.core.manifest.Priority;

/**
 * A service of one of the deployments, in three regions of two zones.
 *
 * @param name its name
 * @param objective what its routing prefers
 * @param endpoints the number of its endpoints
 * @param slots the slots of each endpoint
 * @param callerDelayNanos the time from a caller to an entry VM, one way
 * @param calls its kinds of calls
 */
record ModelService(
    String name,
    Objective objective,
    int endpoints,
    int slots,
    long callerDelayNanos,
    List<CallType> calls) {
  static final int REGIONS = 3;
  static final int ZONES = 6;
  static final int ENTRY_VMS = 22;
  private static final long MILLI = 1_000_000;

  static final ModelService ORDER_DESK =
      new ModelService(
          "order desk",
          Objective.LATENCY,
          12,
          9,
          MILLI,
          List.of(
              new CallType(Priority.INTERACTIVE, 0.7, 20, 500),
              new CallType(Priority.NON_IDEMPOTENT, 0.3, 40, 2_000)));
  static final ModelService PATTERN_LIBRARY =
      new ModelService(
          "pattern library",
          Objective.LATENCY,
          18,
          9,
          MILLI,
          List.of(
              new CallType(Priority.INTERACTIVE, 0.9, 15, 400),
              new CallType(Priority.BATCH, 0.1, 150, 30_000)));
  static final ModelService CREDIT_LEDGER =
      new ModelService(
          "credit ledger",
          Objective.HEADROOM,
          16,
          5,
          8 * MILLI,
          List.of(
              new CallType(Priority.INTERACTIVE, 0.6, 20, 1_000),
              new CallType(Priority.NON_IDEMPOTENT, 0.3, 40, 3_000),
              new CallType(Priority.BATCH, 0.1, 100, 30_000)));
  static final ModelService OFFICE_REPORTING =
      new ModelService(
          "office reporting",
          Objective.HEADROOM,
          18,
          4,
          8 * MILLI,
          List.of(
              new CallType(Priority.INTERACTIVE, 0.8, 20, 1_000),
              new CallType(Priority.BATCH, 0.2, 100, 30_000)));

  int totalSlots() {
    return endpoints * slots;
  }

  /** Returns the requests a second that keep every slot busy. */
  double capacityPerSecond() {
    double meanMillis = calls.stream().mapToDouble(c -> c.share() * c.serviceMillis()).sum();
    return totalSlots() * 1_000 / meanMillis;
  }

  /** Returns the region of a caller; callers are spread over regions like slots. */
  int drawRegion(RandomGenerator random) {
    return random.nextInt(endpoints) % ZONES / (ZONES / REGIONS);
  }

  CallType drawCall(RandomGenerator random) {
    double left = random.nextDouble();
    for (CallType call : calls) {
      left -= call.share();
      if (left < 0) {
        return call;
      }
    }
    return calls.getLast();
  }
}
