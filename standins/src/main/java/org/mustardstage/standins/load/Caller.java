package org.mustardstage.standins.load;

import com.google.common.collect.ImmutableList;
import io.activej.promise.Promise;
import io.activej.reactor.Reactor;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.random.RandomGenerator;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.manifest.HostAndPort;

/** A caller that caches lookup responses for their lifetime. */
final class Caller {
  private static final int MAX_LOOKUP_ATTEMPTS = 6;

  private final Reactor reactor;
  private final EntryVmClient client;
  private final RandomGenerator random;
  private final String address;
  private final List<HostAndPort> knownEntryVms;
  private final Map<ServiceName, CachedLookup> cache = new HashMap<>();

  /**
   * Creates a caller with an empty lookup cache.
   *
   * @param address the IP address that the caller sends in lookups
   * @param knownEntryVms the entry VMs that the caller may send lookups to
   */
  Caller(
      Reactor reactor,
      EntryVmClient client,
      RandomGenerator random,
      String address,
      List<HostAndPort> knownEntryVms) {
    this.reactor = reactor;
    this.client = client;
    this.random = random;
    this.address = address;
    this.knownEntryVms = ImmutableList.copyOf(knownEntryVms);
  }

  /**
   * Returns which entry VMs to use for {@code service}, from the cache or from one of the known
   * entry VMs in random order; empty if none of them responds.
   */
  Promise<Optional<LookupResponse>> lookup(ServiceName service) {
    CachedLookup cached = cache.get(service);
    if (cached != null && reactor.currentTimeMillis() < cached.validUntilMillis()) {
      return Promise.of(Optional.of(cached.response()));
    }
    List<HostAndPort> candidates = new ArrayList<>(knownEntryVms);
    Collections.shuffle(candidates, Random.from(random));
    return requestLookup(
        service, candidates.subList(0, Math.min(MAX_LOOKUP_ATTEMPTS, candidates.size())));
  }

  /** Removes the cached lookup response for {@code service}. */
  void invalidateLookup(ServiceName service) {
    cache.remove(service);
  }

  RandomGenerator random() {
    return random;
  }

  private Promise<Optional<LookupResponse>> requestLookup(
      ServiceName service, List<HostAndPort> candidates) {
    if (candidates.isEmpty()) {
      return Promise.of(Optional.empty());
    }
    return client
        .lookup(candidates.getFirst(), service, address)
        .then(
            response ->
                response.isPresent()
                    ? Promise.of(Optional.of(cacheLookup(service, response.get())))
                    : requestLookup(service, candidates.subList(1, candidates.size())));
  }

  private LookupResponse cacheLookup(ServiceName service, LookupResponse response) {
    long validUntilMillis = reactor.currentTimeMillis() + response.lifetimeMillis();
    cache.put(service, new CachedLookup(response, validUntilMillis));
    return response;
  }

  private record CachedLookup(LookupResponse response, long validUntilMillis) {}
}
