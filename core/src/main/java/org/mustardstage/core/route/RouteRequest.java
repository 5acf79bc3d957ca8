package org.mustardstage.core.route;

import com.google.common.collect.ImmutableSet;
import java.util.Set;
import java.util.function.Predicate;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.RegionId;

/**
 * The properties of a request by which the router selects endpoints.
 *
 * @param expectedWaitNanos how long it would wait for an endpoint of the entry VM's own region
 * @param mayProbe whether it may be sent as a probe to an endpoint that was ejected; true for
 *     idempotent requests, which are safe to retry
 * @param excluded endpoints that rejected or failed an earlier attempt
 * @param mayUseRegion whether the limits of a region and of the network to it allow an attempt
 */
public record RouteRequest(
    long expectedWaitNanos,
    boolean mayProbe,
    Set<EndpointId> excluded,
    Predicate<RegionId> mayUseRegion) {
  /** Makes an immutable copy of the set. */
  public RouteRequest {
    excluded = ImmutableSet.copyOf(excluded);
  }

  /** Returns the first attempt of an idempotent request that may be sent to any region. */
  public static RouteRequest idempotent(long expectedWaitNanos) {
    return new RouteRequest(expectedWaitNanos, true, ImmutableSet.of(), region -> true);
  }
}
