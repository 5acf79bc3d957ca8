package org.mustardstage.core.route;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mustardstage.core.id.RegionId;

/** The mean utilization of each region, over its endpoints with a fresh load report. */
final class RegionUtilization {
  private final Map<RegionId, SlotTotals> slotTotals = new HashMap<>();

  /** Recomputes the means, weighted by slots and without endpoints that are leaving. */
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

  /** Returns the utilization of {@code region}, or 1 when no fresh load report is known. */
  double of(RegionId region) {
    SlotTotals totals = slotTotals.get(region);
    return totals == null || totals.slots == 0 ? 1 : totals.slotsInUse / totals.slots;
  }

  private static final class SlotTotals {
    private double slotsInUse;
    private double slots;

    void clear() {
      slotsInUse = 0;
      slots = 0;
    }

    void add(double utilization, int endpointSlots) {
      slotsInUse += utilization * endpointSlots;
      slots += endpointSlots;
    }
  }
}
