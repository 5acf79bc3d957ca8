package org.mustardstage.core.placement;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.Set;
import org.mustardstage.core.gateway.RoutingRule;
import org.mustardstage.core.id.EndpointId;

/**
 * A request that needs an endpoint.
 *
 * @param id tells the asks of one scheduler apart
 * @param rule the rule that it came under
 * @param object what it is about, if requests for the same object run faster together
 * @param arrivedNanos when the request arrived
 * @param aimNanos until when an answer is in time
 * @param deadlineNanos until when an answer is of any use
 * @param tried the endpoints that are not to be chosen again
 */
public record SchedulerRequest(
    long id,
    RoutingRule rule,
    Optional<String> affinityKey,
    long arrivalNanos,
    long objectiveDeadlineNanos,
    long deadlineNanos,
    Set<EndpointId> excludedEndpoints) {
  /** Copies the set. */
  public SchedulerRequest {
    excludedEndpoints = ImmutableSet.copyOf(excludedEndpoints);
  }
}
