package org.mustardstage.core.gateway;

import com.google.common.base.Preconditions;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Set;
import org.mustardstage.core.id.RegionId;

/**
 * Defines to which services the requests under one path prefix are sent, and how.
 *
 * @param name the name that operators gave the rule
 * @param pathPrefix the prefix of the paths, which starts and ends with a slash
 * @param idempotent whether a request may be run more than once
 * @param latencyObjectiveMillis the latency objective
 * @param priority the priority of the requests; 0 is the highest
 * @param affinity whether requests for the same object run faster at the same endpoint
 * @param destinations the services that the requests are split among, with their weights
 * @param timeoutMillis the longest time that a caller waits for a response
 * @param maxAttempts the maximum number of endpoints that one request may be sent to
 * @param allowedRegions the regions that may serve the requests; empty means any
 * @param anonymous whether requests need no API key even if the configuration has tenants
 * @param largeResponses whether responses are expected to be too large to be held whole
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
    Set<RegionId> allowedRegions,
    boolean anonymous,
    boolean largeResponses) {
  /** Copies the collections and checks the values. */
  public RoutingRule {
    destinations = ImmutableList.copyOf(destinations);
    allowedRegions = ImmutableSet.copyOf(allowedRegions);
    Preconditions.checkArgument(
        pathPrefix.startsWith("/") && pathPrefix.endsWith("/"),
        "path prefix must start and end with a slash: %s",
        pathPrefix);
    Preconditions.checkArgument(
        timeoutMillis > 0, "rule %s: timeout must be positive: %s", name, timeoutMillis);
    Preconditions.checkArgument(
        maxAttempts > 0,
        "rule %s: maximum number of attempts must be positive: %s",
        name,
        maxAttempts);
    Preconditions.checkArgument(
        destinations.stream().anyMatch(d -> d.weight() > 0),
        "rule %s leads nowhere: no destination has a positive weight",
        name);
  }

  /** Creates a rule whose requests need an API key if the configuration has tenants. */
  public RoutingRule(
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
    this(
        name,
        pathPrefix,
        idempotent,
        latencyObjectiveMillis,
        priority,
        affinity,
        destinations,
        timeoutMillis,
        maxAttempts,
        allowedRegions,
        /* anonymous= */ false,
        /* largeResponses= */ false);
  }

  /** Returns whether the requests may be served in {@code region}. */
  public boolean allowsRegion(RegionId region) {
    return allowedRegions.isEmpty() || allowedRegions.contains(region);
  }
}
