package org.mustardstage.core.placement;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mustardstage.core.id.RegionId;

/**
 * Ranks the regions, and the endpoints of each region, for an affinity key by rendezvous hashing.
 * All VMs compute the same order without communication, and few keys move when endpoints are added
 * or removed.
 *
 * <p>Handles services with hundreds of endpoints, of which one comes or goes at a time: the order
 * of a key is then patched when it is next asked for, with few hashes, instead of computed anew.
 */
final class RendezvousOrder {
  /** Bounds the memory of the cache, which is cleared when it holds more keys. */
  private static final int MAX_CACHED_KEYS = 4_096;

  /** An order that has missed more changes than this is computed anew. */
  private static final int MAX_PATCHED_CHANGES = 16;

  private final RoundTripEstimates roundTrips;
  private final Map<String, KeyOrder> ordersByKey = new HashMap<>();
  private final Deque<Change> changes = new ArrayDeque<>();
  private ImmutableList<EndpointState> endpoints = ImmutableList.of();
  private long generation;

  /** The order for a key, with the generation of the endpoints for which it holds. */
  private record KeyOrder(
      long generation, ImmutableList<ImmutableList<EndpointState>> endpointsByRegion) {}

  /** What a generation of the endpoints changed. */
  private record Change(Set<EndpointState> added, Set<EndpointState> removed) {}

  private record RankedEndpoint(EndpointState state, long hash) {}

  RendezvousOrder(RoundTripEstimates roundTrips) {
    this.roundTrips = roundTrips;
  }

  /** Replaces the endpoints that may receive new requests. */
  void setEndpoints(ImmutableList<EndpointState> newEndpoints) {
    Set<EndpointState> added = identitySet(newEndpoints);
    added.removeAll(identitySet(endpoints));
    Set<EndpointState> removed = identitySet(endpoints);
    removed.removeAll(identitySet(newEndpoints));
    endpoints = newEndpoints;
    if (added.isEmpty() && removed.isEmpty()) {
      return;
    }
    generation++;
    if (added.size() + removed.size() > MAX_PATCHED_CHANGES) {
      ordersByKey.clear();
    }
    changes.addLast(new Change(added, removed));
    if (changes.size() > MAX_PATCHED_CHANGES) {
      changes.removeFirst();
    }
  }

  private static Set<EndpointState> identitySet(List<EndpointState> states) {
    Set<EndpointState> set = Collections.newSetFromMap(new IdentityHashMap<>());
    set.addAll(states);
    return set;
  }

  /** Returns the endpoints by region, regions and endpoints in order of rank for the key. */
  ImmutableList<ImmutableList<EndpointState>> rankByRegion(String affinityKey) {
    KeyOrder cached = ordersByKey.get(affinityKey);
    if (cached != null && cached.generation() == generation) {
      return cached.endpointsByRegion();
    }
    if (ordersByKey.size() > MAX_CACHED_KEYS) {
      ordersByKey.clear();
    }
    boolean patchable = cached != null && generation - cached.generation() <= changes.size();
    KeyOrder fresh =
        new KeyOrder(generation, patchable ? patch(affinityKey, cached) : compute(affinityKey));
    ordersByKey.put(affinityKey, fresh);
    return fresh.endpointsByRegion();
  }

  private ImmutableList<ImmutableList<EndpointState>> compute(String affinityKey) {
    RankedEndpoint[] ranked = new RankedEndpoint[endpoints.size()];
    for (int i = 0; i < ranked.length; i++) {
      EndpointState state = endpoints.get(i);
      ranked[i] = new RankedEndpoint(state, hash(affinityKey, state));
    }
    Arrays.sort(ranked, Comparator.comparingLong(RankedEndpoint::hash));
    Map<RegionId, ImmutableList.Builder<EndpointState>> byRegion = new LinkedHashMap<>();
    for (RankedEndpoint each : ranked) {
      byRegion
          .computeIfAbsent(regionOf(each.state()), region -> ImmutableList.builder())
          .add(each.state());
    }
    return byRegion.values().stream()
        .map(ImmutableList.Builder::build)
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the order with the changes since its generation. */
  private ImmutableList<ImmutableList<EndpointState>> patch(String affinityKey, KeyOrder order) {
    Map<RegionId, List<EndpointState>> byRegion = new HashMap<>();
    for (ImmutableList<EndpointState> region : order.endpointsByRegion()) {
      byRegion.put(regionOf(region.getFirst()), new ArrayList<>(region));
    }
    long missed = generation - order.generation();
    changes.stream()
        .skip(changes.size() - missed)
        .forEach(change -> apply(affinityKey, change, byRegion));
    return byRegion.values().stream()
        .filter(region -> !region.isEmpty())
        .sorted(Comparator.comparingLong(region -> hash(affinityKey, region.getFirst())))
        .map(ImmutableList::copyOf)
        .collect(ImmutableList.toImmutableList());
  }

  private void apply(
      String affinityKey, Change change, Map<RegionId, List<EndpointState>> byRegion) {
    if (!change.removed().isEmpty()) {
      byRegion.values().forEach(region -> region.removeIf(change.removed()::contains));
    }
    for (EndpointState added : change.added()) {
      List<EndpointState> region =
          byRegion.computeIfAbsent(regionOf(added), id -> new ArrayList<>());
      region.add(insertionIndex(affinityKey, region, hash(affinityKey, added)), added);
    }
  }

  /** Returns where an endpoint with {@code hash} belongs, by a binary search. */
  private static int insertionIndex(String affinityKey, List<EndpointState> region, long hash) {
    int low = 0;
    int high = region.size();
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (hash(affinityKey, region.get(middle)) < hash) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }

  private RegionId regionOf(EndpointState state) {
    return roundTrips.regionOf(state.endpoint().zone());
  }

  private static long hash(String affinityKey, EndpointState state) {
    return Hashing.murmur3_128()
        .hashString(affinityKey + "/" + state.endpoint().id(), StandardCharsets.UTF_8)
        .asLong();
  }
}
