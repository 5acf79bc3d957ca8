package org.mustardstage.core.route;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mustardstage.core.id.RegionId;

/** The mean used share of the endpoints of each region, by those with a recent load report. */
final class RegionLoads {
  private final Map<RegionId, Load> loads = new HashMap<>();

  /** Works out the means anew. */
  void update(List<RoutedEndpoint> endpoints) {
    loads.values().forEach(Load::clear);
    for (RoutedEndpoint endpoint : endpoints) {
      if (endpoint.reported() && !endpoint.isLeaving()) {
        loads
            .computeIfAbsent(endpoint.site().region(), region -> new Load())
            .add(endpoint.usedShare(), endpoint.site().slots());
      }
    }
  }

  /** Returns the used share of {@code region}, 1 when nothing recent is known. */
  double usedShare(RegionId region) {
    Load load = loads.get(region);
    return load == null || load.slots == 0 ? 1 : load.usedSlots / load.slots;
  }

  private static final class Load {
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
