package org.mustardstage.core.manifest;

import com.google.common.base.Preconditions;
import org.mustardstage.core.id.RegionId;

/**
 * What a region may carry of a service.
 *
 * @param region the region
 * @param maxShare the largest share of the requests of the service, from 0 to 1
 * @param requestsPerSecond the largest rate of requests of the service
 */
public record PlaceLimit(RegionId region, double maxShare, long requestsPerSecond) {
  /** Checks that the share is between 0 and 1 and the rate positive. */
  public PlaceLimit {
    Preconditions.checkArgument(maxShare >= 0 && maxShare <= 1, "share must be from 0 to 1");
    Preconditions.checkArgument(requestsPerSecond > 0, "rate must be positive");
  }
}
