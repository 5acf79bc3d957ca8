package org.mustardstage.core.manifest;

import com.google.common.base.Preconditions;
import org.mustardstage.core.id.RegionId;

/**
 * The limits on the requests of a service that a region may carry.
 *
 * @param region the region
 * @param maxShare the largest share of the requests of the service, from 0 to 1
 * @param requestsPerSecond the largest rate of requests of the service
 */
public record PlaceLimit(RegionId region, double maxShare, long requestsPerSecond) {
  /** Checks that the share is from 0 to 1 and the rate positive. */
  public PlaceLimit {
    Preconditions.checkArgument(maxShare >= 0 && maxShare <= 1, "maxShare must be from 0 to 1");
    Preconditions.checkArgument(requestsPerSecond > 0, "requestsPerSecond must be positive");
  }
}
