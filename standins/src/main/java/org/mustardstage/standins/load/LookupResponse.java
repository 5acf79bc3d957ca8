package org.mustardstage.standins.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import io.vavr.control.Try;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.mustardstage.core.manifest.HostAndPort;

/**
 * What a look-up told a caller.
 *
 * @param lifetimeMillis how long it may be kept
 * @param keyPrefix the start of the caller's idempotency keys
 * @param entryVms the entry VMs to use
 */
record LookupResponse(long lifetimeMillis, String keyPrefix, List<WeightedVm> entryVms) {
  LookupResponse {
    entryVms = ImmutableList.copyOf(entryVms);
  }

  /** Returns the answer that {@code json} holds, if it is one. */
  static Optional<LookupResponse> of(JsonNode json) {
    return Try.of(
            () ->
                new LookupResponse(
                    json.path("lifetimeMillis").asLong(),
                    json.path("keyPrefix").asText(),
                    json.path("entryVms").valueStream().map(WeightedVm::of).toList()))
        .filter(answer -> !answer.entryVms().isEmpty())
        .toJavaOptional();
  }

  /** Returns an entry VM drawn by weight, not in {@code avoid} unless all are. */
  HostAndPort chooseEntryVm(RandomGenerator random, List<HostAndPort> avoid) {
    List<WeightedVm> fresh = entryVms.stream().filter(vm -> !avoid.contains(vm.address())).toList();
    List<WeightedVm> candidates = fresh.isEmpty() ? entryVms : fresh;
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

  /** An entry VM and the share of requests that it is to get. */
  record WeightedVm(HostAndPort address, double weight) {
    private static WeightedVm of(JsonNode json) {
      return new WeightedVm(
          HostAndPort.parse(json.path("address").asText()), json.path("weight").asDouble(1));
    }
  }
}
