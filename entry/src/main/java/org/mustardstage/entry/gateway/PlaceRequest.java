package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.Set;
import org.mustardstage.core.gateway.RoutingRule;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.ServiceName;

/**
 * A request that needs an endpoint, as the traffic thread asks for it.
 *
 * @param service the service that it goes to
 * @param rule the rule that it came under
 * @param object what it is about, if requests for the same object run faster together
 * @param arrivedNanos when it arrived
 * @param aimNanos until when an answer is in time
 * @param deadlineNanos until when an answer is of any use
 * @param tried the endpoints that are not to be chosen again
 * @param sentBefore whether any endpoint may have received it before
 */
record PlaceRequest(
    ServiceName service,
    RoutingRule rule,
    Optional<String> object,
    long arrivedNanos,
    long aimNanos,
    long deadlineNanos,
    Set<EndpointId> tried,
    boolean sentBefore) {
  /** Copies the set. */
  PlaceRequest {
    tried = ImmutableSet.copyOf(tried);
  }
}
