package org.mustardstage.standins.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import io.vavr.control.Try;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.mustardstage.core.manifest.HostAndPort;

/**
 * The response to a lookup: which entry VMs a caller should use.
 *
 * @param lifetimeMillis how long the caller may cache the response
 * @param keyPrefix the prefix of the caller's idempotency keys
 * @param entryVms the entry VMs with their weights, at least one
 */
record LookupResponse(long lifetimeMillis, String keyPrefix, List<WeightedVm> entryVms) {
  LookupResponse {
    entryVms = ImmutableList.copyOf(entryVms);
  }

  /** Parses {@code json}; empty if it is malformed or names no entry VM. */
  static Optional<LookupResponse> of(JsonNode json) {
    return Try.of(
            () ->
                new LookupResponse(
                    json.path("lifetimeMillis").asLong(),
                    json.path("keyPrefix").asText(),
                    json.path("entryVms").valueStream().map(WeightedVm::of).toList()))
        .filter(response -> !response.entryVms().isEmpty())
        .toJavaOptional();
  }

  /** Returns an entry VM drawn by weight; one in {@code avoid} only if all of them are. */
  HostAndPort chooseEntryVm(RandomGenerator random, List<HostAndPort> avoid) {
    List<WeightedVm> preferred =
        entryVms.stream().filter(vm -> !avoid.contains(vm.address())).toList();
    List<WeightedVm> candidates = preferred.isEmpty() ? entryVms : preferred;
    double total = candidates.stream().mapToDouble(WeightedVm::weight).sum();
    double drawn = random.nextDouble() * total;
    for (WeightedVm candidate : candidates) {
      drawn -= candidate.weight();
      if (drawn < 0) {
        return candidate.address();
      }
    }
    return candidates.getLast().address();
  }

  /** An entry VM and its relative share of the requests. */
  record WeightedVm(HostAndPort address, double weight) {
    private static WeightedVm of(JsonNode json) {
      return new WeightedVm(
          HostAndPort.parse(json.path("address").asText()), json.path("weight").asDouble(1));
    }
  }
}
