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
 * Ranks the regions, and the endpoints of each region, for an affinity key by rendezvous hashing.
 * All VMs compute the same order without communication, and few keys move when endpoints are added
 * or removed.
 */
final class RendezvousOrder {
  /** Bounds the memory of the cache, which is cleared when it holds more keys. */
  private static final int MAX_CACHED_KEYS = 4_096;

  private final RoundTripEstimates roundTrips;
  private final Map<String, ImmutableList<ImmutableList<EndpointState>>> ordersByKey =
      new HashMap<>();
  private ImmutableList<EndpointState> endpoints = ImmutableList.of();

  RendezvousOrder(RoundTripEstimates roundTrips) {
    this.roundTrips = roundTrips;
  }

  /** Replaces the endpoints that may receive new requests. */
  void setEndpoints(ImmutableList<EndpointState> newEndpoints) {
    if (!newEndpoints.equals(endpoints)) {
      endpoints = newEndpoints;
      ordersByKey.clear();
    }
  }

  /** Returns the endpoints by region, regions and endpoints in order of rank for the key. */
  ImmutableList<ImmutableList<EndpointState>> rankByRegion(String affinityKey) {
    if (ordersByKey.size() > MAX_CACHED_KEYS) {
      ordersByKey.clear();
    }
    return ordersByKey.computeIfAbsent(affinityKey, this::compute);
  }

  private ImmutableList<ImmutableList<EndpointState>> compute(String affinityKey) {
    Map<EndpointState, Long> hashes = new HashMap<>();
    endpoints.forEach(state -> hashes.put(state, hash(affinityKey, state)));
    Map<RegionId, List<EndpointState>> byRegion = new LinkedHashMap<>();
    endpoints.stream()
        .sorted(Comparator.comparing(hashes::get))
        .forEach(
            state ->
                byRegion
                    .computeIfAbsent(
                        roundTrips.regionOf(state.endpoint().zone()), region -> new ArrayList<>())
                    .add(state));
    return byRegion.values().stream()
        .map(ImmutableList::copyOf)
        .collect(ImmutableList.toImmutableList());
  }

  private static long hash(String affinityKey, EndpointState state) {
    return Hashing.murmur3_128()
        .hashString(affinityKey + "/" + state.endpoint().id(), StandardCharsets.UTF_8)
        .asLong();
  }
}
