package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.Set;
import org.mustardstage.core.gateway.RoutingRule;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.tenant.Tenant;

/**
 * A request of the traffic thread for an endpoint that runs a caller's request.
 *
 * @param service the service that the request is sent to
 * @param rule the routing rule that the request matches
 * @param tenant the tenant whose caller sent it; empty if the request needs no key
 * @param affinityKey the key whose requests run faster at the same endpoint, if the rule has
 *     affinity
 * @param arrivalNanos when the request arrived
 * @param objectiveDeadlineNanos when the latency objective is missed
 * @param deadlineNanos when the caller stops waiting
 * @param excludedEndpoints the endpoints that must not be chosen again
 * @param budgetUse how the request counts for the retry budget
 */
record PlacementRequest(
    ServiceName service,
    RoutingRule rule,
    Optional<Tenant> tenant,
    Optional<String> affinityKey,
    long arrivalNanos,
    long objectiveDeadlineNanos,
    long deadlineNanos,
    Set<EndpointId> excludedEndpoints,
    BudgetUse budgetUse) {
  /** How a placement counts for the retry budget. */
  enum BudgetUse {
    /** The first placement of a request, which adds to the budget. */
    FIRST_ATTEMPT,
    /** Another placement of a request that is counted, and that no endpoint has received. */
    NOT_SENT_BEFORE,
    /** An endpoint may have received the request before, so it takes from the budget. */
    RETRY
  }

  /** Copies the set. */
  PlacementRequest {
    excludedEndpoints = ImmutableSet.copyOf(excludedEndpoints);
  }
}
