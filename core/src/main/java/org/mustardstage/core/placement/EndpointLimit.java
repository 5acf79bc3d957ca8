package org.mustardstage.core.placement;

import com.google.common.base.Preconditions;
import java.util.Optional;

/**
 * What an endpoint has said in a response about the rate of requests that it takes from all VMs.
 *
 * @param endpoint the endpoint
 * @param requestsPerSecond the limit; empty if the endpoint no longer names one
 */
public record EndpointLimit(EndpointIncarnation endpoint, Optional<Double> requestsPerSecond) {
  /** Checks that the limit is finite and not negative. */
  public EndpointLimit {
    Preconditions.checkArgument(
        requestsPerSecond.filter(rate -> !(rate >= 0) || rate.isInfinite()).isEmpty(),
        "requestsPerSecond must be finite and not negative: %s",
        requestsPerSecond);
  }
}
