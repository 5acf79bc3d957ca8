package org.mustardstage.core.placement;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mustardstage.core.id.RegionId;

/**
 * In which order an object uses the endpoints of each region, and the regions. All VMs work out the
 * same order without a message, and few objects move when endpoints come or go.
 */
final class ObjectOrders {
  /** Orders are worked out anew when this many objects were seen; it bounds memory only. */
  private static final int MAX_OBJECTS = 4_096;

  private final RoundTripEstimates roundTrips;
  private final Map<String, ImmutableList<ImmutableList<EndpointUse>>> orders = new HashMap<>();
  private ImmutableList<EndpointUse> usable = ImmutableList.of();

  ObjectOrders(RoundTripEstimates roundTrips) {
    this.roundTrips = roundTrips;
  }

  /** Takes over the endpoints that may be sent new work. */
  void onEndpoints(ImmutableList<EndpointUse> newUsable) {
    if (!newUsable.equals(usable)) {
      usable = newUsable;
      orders.clear();
    }
  }

  /** Returns the endpoints of each region in the order in which {@code object} uses them. */
  ImmutableList<ImmutableList<EndpointUse>> of(String object) {
    if (orders.size() > MAX_OBJECTS) {
      orders.clear();
    }
    return orders.computeIfAbsent(object, this::compute);
  }

  private ImmutableList<ImmutableList<EndpointUse>> compute(String object) {
    Map<EndpointUse, Long> hashes = new HashMap<>();
    usable.forEach(use -> hashes.put(use, hash(object, use)));
    Map<RegionId, List<EndpointUse>> byRegion = new LinkedHashMap<>();
    usable.stream()
        .sorted(Comparator.comparing(hashes::get))
        .forEach(
            use ->
                byRegion
                    .computeIfAbsent(
                        roundTrips.regionOf(use.endpoint().zone()), region -> new ArrayList<>())
                    .add(use));
    return byRegion.values().stream()
        .map(ImmutableList::copyOf)
        .collect(ImmutableList.toImmutableList());
  }

  private static long hash(String object, EndpointUse use) {
    return Hashing.murmur3_128()
        .hashString(object + "/" + use.endpoint().id(), StandardCharsets.UTF_8)
        .asLong();
  }
}
