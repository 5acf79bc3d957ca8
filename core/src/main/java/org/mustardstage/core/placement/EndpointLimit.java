package org.mustardstage.core.placement;

import com.google.common.base.Preconditions;
import java.util.Optional;
import org.mustardstage.core.id.EndpointId;

/**
 * What an endpoint has said in a response about the rate of requests that it takes from all VMs.
 *
 * @param id the id of the endpoint
 * @param startTimeMillis the start time by which the registry tells its incarnations apart, in
 *     milliseconds since the epoch
 * @param requestsPerSecond the limit; empty if the endpoint no longer names one
 */
public record EndpointLimit(
    EndpointId id, long startTimeMillis, Optional<Double> requestsPerSecond) {
  /** Checks that the limit is finite and not negative. */
  public EndpointLimit {
    Preconditions.checkArgument(
        requestsPerSecond.filter(rate -> !(rate >= 0) || rate.isInfinite()).isEmpty(),
        "requestsPerSecond must be finite and not negative: %s",
        requestsPerSecond);
  }
}
