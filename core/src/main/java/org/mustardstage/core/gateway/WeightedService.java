package org.mustardstage.core.gateway;

import com.google.common.base.Preconditions;
import org.mustardstage.core.id.ServiceName;

/**
 * A service that receives a share of the requests of a rule.
 *
 * @param service the service
 * @param weight its share, relative to the weights of the other services of the rule
 */
public record WeightedService(ServiceName service, double weight) {
  /** Checks that the weight is a number and not negative. */
  public WeightedService {
    Preconditions.checkArgument(
        weight >= 0 && weight < 1e12, "weight must be in [0, 1e12): %s", weight);
  }
}
