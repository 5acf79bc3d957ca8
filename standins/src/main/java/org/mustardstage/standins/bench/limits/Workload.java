package org.mustardstage.standins.bench.limits;

import java.util.ArrayList;
import java.util.List;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.permit.LimitId;

/**
 * The sizes of one run.
 *
 * @param entryVms the number of entry VMs of the zone
 * @param endpoints the number of endpoints
 * @param slots the slots of each endpoint
 * @param meanServiceNanos the mean time that a request occupies a slot
 * @param load the offered load as a share of all slots
 * @param networkNanos the one-way delay between two VMs of a zone
 * @param deadlineNanos the deadline of a request
 */
record Workload(
    int entryVms,
    int endpoints,
    int slots,
    long meanServiceNanos,
    double load,
    long networkNanos,
    long deadlineNanos) {
  private static final long MILLIS = 1_000_000L;

  /** Returns the sizes of the cooperative's order desk in one zone. */
  static Workload cooperative(double load) {
    return new Workload(4, 12, 9, 50 * MILLIS, load, 300_000L, 2_000 * MILLIS);
  }

  int allSlots() {
    return endpoints * slots;
  }

  double requestsPerNano() {
    return load * allSlots() / meanServiceNanos;
  }

  List<LimitId> limits() {
    List<LimitId> limits = new ArrayList<>();
    for (int index = 0; index < endpoints; index++) {
      limits.add(LimitId.slotsOf(new EndpointId("desk-" + index)));
    }
    return limits;
  }
}
