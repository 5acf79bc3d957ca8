package org.mustardstage.core.placement;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.mustardstage.core.gateway.RoutingRule;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.tenant.Tenant;

/**
 * A request for which a scheduler chooses an endpoint.
 *
 * @param id identifies the request within its scheduler
 * @param rule the routing rule that matched
 * @param tenant the tenant whose caller sent it; empty if the request needs no key
 * @param affinityKey identifies the object that the request is about, if requests for the same
 *     object run faster at the same endpoint
 * @param arrivalNanos when the request arrived
 * @param objectiveDeadlineNanos until when a response meets the latency objective
 * @param deadlineNanos until when a response is of any use to the caller
 * @param excludedEndpoints the endpoints that must not be chosen, such as those of failed attempts
 */
public record SchedulerRequest(
    long id,
    RoutingRule rule,
    Optional<Tenant> tenant,
    Optional<String> affinityKey,
    long arrivalNanos,
    long objectiveDeadlineNanos,
    long deadlineNanos,
    Set<EndpointId> excludedEndpoints) {
  /** Copies the excluded endpoints. */
  public SchedulerRequest {
    excludedEndpoints = ImmutableSet.copyOf(excludedEndpoints);
  }

  /** Returns the priority: that of the tenant if it has one, or else that of the rule. */
  public int priority() {
    return tenant
        .map(Tenant::priority)
        .filter(OptionalInt::isPresent)
        .map(OptionalInt::getAsInt)
        .orElse(rule.priority());
  }

  /**
   * Returns until when it is worth to hold the request for a response: the end of the latency
   * objective, or the caller's deadline if that is earlier.
   */
  public long holdDeadlineNanos() {
    return deadlineNanos - objectiveDeadlineNanos < 0 ? deadlineNanos : objectiveDeadlineNanos;
  }

  /** Returns whether both the rule and the tenant allow {@code region} to serve the request. */
  public boolean allowsRegion(RegionId region) {
    return rule.allowsRegion(region) && tenant.map(t -> t.allowsRegion(region)).orElse(true);
  }
}
