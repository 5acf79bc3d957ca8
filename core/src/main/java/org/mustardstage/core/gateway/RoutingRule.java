package org.mustardstage.core.gateway;

import com.google.common.base.Preconditions;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Set;
import org.mustardstage.core.id.RegionId;

/**
 * Where the requests under one path prefix go, and how they are treated.
 *
 * @param name the name that operators know the rule by
 * @param prefix the start of the paths, with a slash at both ends
 * @param idempotent whether a request may run more than once
 * @param aimMillis the latency objective
 * @param rank how urgent a request is; 0 is the most urgent
 * @param affinity whether requests for the same object run faster at the same endpoint
 * @param destinations the services, with their parts of the requests
 * @param timeoutMillis the longest time a caller is kept waiting
 * @param maxAttempts the most endpoints that one request may be sent to
 * @param homeRegions the only regions that may serve it; empty means any
 */
public record RoutingRule(
    String name,
    String pathPrefix,
    boolean idempotent,
    long latencyObjectiveMillis,
    int priority,
    boolean affinity,
    List<WeightedService> destinations,
    long timeoutMillis,
    int maxAttempts,
    Set<RegionId> allowedRegions) {
  /** Copies the collections and checks what every rule must have. */
  public RoutingRule {
    destinations = ImmutableList.copyOf(destinations);
    allowedRegions = ImmutableSet.copyOf(allowedRegions);
    Preconditions.checkArgument(
        pathPrefix.startsWith("/") && pathPrefix.endsWith("/"),
        "prefix without slashes: %s",
        pathPrefix);
    Preconditions.checkArgument(timeoutMillis > 0, "rule %s has no timeout", name);
    Preconditions.checkArgument(maxAttempts > 0, "rule %s allows no attempt", name);
    Preconditions.checkArgument(
        destinations.stream().anyMatch(d -> d.weight() > 0), "rule %s leads nowhere", name);
  }

  /** Returns whether the requests may be served in {@code region}. */
  public boolean allowsRegion(RegionId region) {
    return allowedRegions.isEmpty() || allowedRegions.contains(region);
  }
}
