package org.mustardstage.standins.bench.limits;

import java.util.ArrayList;
import java.util.List;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.permit.LimitId;

/**
 * The sizes and the offered load of one run.
 *
 * @param entryVms the number of entry VMs of the zone
 * @param endpoints the number of endpoints
 * @param slotsPerEndpoint the concurrency limit of each endpoint
 * @param meanServiceTimeNanos the mean time that a request occupies a slot
 * @param offeredLoad the offered load as a fraction of the capacity of all slots
 * @param oneWayDelayNanos the one-way network delay between two VMs of a zone
 * @param timeoutNanos how long a request may wait and run after its arrival
 */
record Workload(
    int entryVms,
    int endpoints,
    int slotsPerEndpoint,
    long meanServiceTimeNanos,
    double offeredLoad,
    long oneWayDelayNanos,
    long timeoutNanos) {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Returns the sizes of the order desk service in one zone of the cooperative deployment. */
  static Workload cooperative(double offeredLoad) {
    return new Workload(
        4, 12, 9, 50 * NANOS_PER_MILLI, offeredLoad, 300_000L, 2_000 * NANOS_PER_MILLI);
  }

  int totalSlots() {
    return endpoints * slotsPerEndpoint;
  }

  double arrivalsPerNano() {
    return offeredLoad * totalSlots() / meanServiceTimeNanos;
  }

  List<LimitId> limitIds() {
    List<LimitId> limits = new ArrayList<>();
    for (int index = 0; index < endpoints; index++) {
      limits.add(LimitId.slotsOf(new EndpointId("desk-" + index)));
    }
    return limits;
  }
}
