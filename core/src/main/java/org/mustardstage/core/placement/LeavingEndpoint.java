package org.mustardstage.core.placement;

import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.id.EndpointId;

/**
 * An incarnation of an endpoint that has said in a response that it is leaving.
 *
 * @param id the id of the endpoint
 * @param startTimeMillis the start time by which the registry tells its incarnations apart, in
 *     milliseconds since the epoch
 */
public record LeavingEndpoint(EndpointId id, long startTimeMillis) {
  /** Returns the incarnation that {@code endpoint} registered. */
  public static LeavingEndpoint of(RegisteredEndpoint endpoint) {
    return new LeavingEndpoint(endpoint.id(), endpoint.startTimeMillis());
  }
}
