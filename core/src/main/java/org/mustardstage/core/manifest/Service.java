package org.mustardstage.core.manifest;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import org.mustardstage.core.id.ServiceName;

/**
 * A service with its calls, endpoints and limits.
 *
 * @param name the name of the service
 * @param objective the quantity that its routing optimizes
 * @param calls the kinds of calls; the first that matches a request applies
 * @param endpoints the endpoints
 * @param placeLimits the limits of regions; a region without an entry may carry any share
 */
public record Service(
    ServiceName name,
    Objective objective,
    List<Call> calls,
    List<Endpoint> endpoints,
    List<PlaceLimit> placeLimits) {
  /** Copies the lists. */
  public Service {
    calls = ImmutableList.copyOf(calls);
    endpoints = ImmutableList.copyOf(endpoints);
    placeLimits = ImmutableList.copyOf(placeLimits);
  }

  /** Returns the first call that matches {@code method} and {@code path}. */
  public Optional<Call> findCall(String method, String path) {
    return calls.stream().filter(call -> call.matches(method, path)).findFirst();
  }
}
