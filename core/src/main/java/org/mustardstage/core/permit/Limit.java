package org.mustardstage.core.permit;

import com.google.common.base.Preconditions;
import org.mustardstage.core.id.ZoneId;

/**
 * A concurrency limit of the active manifest, such as the slots of an endpoint.
 *
 * @param id identifies the limit
 * @param zone the zone whose entry VMs own its permits
 * @param permits how many permits it has, numbered from 0
 */
public record Limit(LimitId id, ZoneId zone, int permits) {
  /** Checks that the number of permits is not negative. */
  public Limit {
    Preconditions.checkArgument(permits >= 0, "permits must not be negative: %s", permits);
  }
}
