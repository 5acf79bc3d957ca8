package org.mustardstage.core.placement;

import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.id.EndpointId;

/**
 * One run of an endpoint, which may start again under its id and then knows nothing of before.
 *
 * @param id the id of the endpoint
 * @param startTimeMillis the start time by which the registry tells its incarnations apart, in
 *     milliseconds since the epoch
 */
public record EndpointIncarnation(EndpointId id, long startTimeMillis) {
  /** Returns the incarnation that {@code endpoint} registered. */
  public static EndpointIncarnation of(RegisteredEndpoint endpoint) {
    return new EndpointIncarnation(endpoint.id(), endpoint.startTimeMillis());
  }
}
