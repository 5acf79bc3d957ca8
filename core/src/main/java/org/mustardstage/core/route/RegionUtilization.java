package org.mustardstage.core.route;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mustardstage.core.id.RegionId;

/** The mean used share of the endpoints of each region, by those with a recent load report. */
final class RegionUtilization {
  private final Map<RegionId, SlotTotals> slotTotals = new HashMap<>();

  /** Works out the means anew. */
  void update(List<EndpointState> endpoints) {
    slotTotals.values().forEach(SlotTotals::clear);
    for (EndpointState endpoint : endpoints) {
      if (endpoint.hasFreshReport() && !endpoint.isLeaving()) {
        slotTotals
            .computeIfAbsent(endpoint.location().region(), region -> new SlotTotals())
            .add(endpoint.utilization(), endpoint.location().slots());
      }
    }
  }

  /** Returns the used share of {@code region}, 1 when nothing recent is known. */
  double of(RegionId region) {
    SlotTotals load = slotTotals.get(region);
    return load == null || load.slots == 0 ? 1 : load.usedSlots / load.slots;
  }

  private static final class SlotTotals {
    private double usedSlots;
    private double slots;

    void clear() {
      usedSlots = 0;
      slots = 0;
    }

    void add(double usedShare, int endpointSlots) {
      usedSlots += usedShare * endpointSlots;
      slots += endpointSlots;
    }
  }
}
