package org.mustardstage.core.route;

import com.google.common.collect.ImmutableSet;
import java.util.Set;
import java.util.function.Predicate;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.RegionId;

/**
 * A request that needs an endpoint.
 *
 * @param expectedWaitNanos how long it would wait for an endpoint of its own region
 * @param mayProbe whether it may go to an endpoint on probation, as an idempotent request may
 * @param avoid endpoints that refused or failed an earlier attempt
 * @param mayUseRegion whether another region may take it, by limits of places and links
 */
public record RouteRequest(
    long expectedWaitNanos,
    boolean mayProbe,
    Set<EndpointId> excluded,
    Predicate<RegionId> mayUseRegion) {
  /** Copies the set. */
  public RouteRequest {
    excluded = ImmutableSet.copyOf(excluded);
  }

  /** Returns a first attempt of an idempotent request that may use any region. */
  public static RouteRequest idempotent(long expectedWaitNanos) {
    return new RouteRequest(expectedWaitNanos, true, ImmutableSet.of(), region -> true);
  }
}
