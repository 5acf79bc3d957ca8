package org.mustardstage.core.placement;

import com.google.common.collect.ImmutableCollection;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.Optional;
import java.util.function.Function;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.id.EndpointId;

/** The endpoints that are usable, by id, each with its present incarnation. */
final class CurrentEndpoints {
  private ImmutableMap<EndpointId, RegisteredEndpoint> endpoints = ImmutableMap.of();

  /**
   * Replaces the endpoints.
   *
   * @return the ids whose incarnation has ended, so that nothing known of it holds any more
   */
  ImmutableSet<EndpointId> replace(Collection<RegisteredEndpoint> newEndpoints) {
    ImmutableMap<EndpointId, RegisteredEndpoint> before = endpoints;
    endpoints =
        newEndpoints.stream()
            .collect(
                ImmutableMap.toImmutableMap(
                    RegisteredEndpoint::id,
                    Function.identity(),
                    // An id may be registered for several services.
                    (first, second) -> first));
    return before.values().stream()
        .filter(endpoint -> !isCurrent(endpoint))
        .map(RegisteredEndpoint::id)
        .collect(ImmutableSet.toImmutableSet());
  }

  /** Returns whether {@code endpoint} is of the present incarnation. */
  boolean isCurrent(RegisteredEndpoint endpoint) {
    return find(endpoint.id()).filter(endpoint::isSameIncarnationAs).isPresent();
  }

  Optional<RegisteredEndpoint> find(EndpointId id) {
    return Optional.ofNullable(endpoints.get(id));
  }

  boolean isEmpty() {
    return endpoints.isEmpty();
  }

  int size() {
    return endpoints.size();
  }

  ImmutableSet<EndpointId> ids() {
    return endpoints.keySet();
  }

  ImmutableCollection<RegisteredEndpoint> all() {
    return endpoints.values();
  }
}
