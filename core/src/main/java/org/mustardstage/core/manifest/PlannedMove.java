package org.mustardstage.core.manifest;

import com.google.common.base.Preconditions;
import org.mustardstage.core.id.MoveId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ServiceName;

/**
 * A planned move of a share of a service's traffic from one region to another.
 *
 * @param id the name of the move
 * @param service the service
 * @param from the region that traffic is moved from
 * @param to the region that receives the traffic
 * @param capShare the largest share of the traffic of {@code from} that may be moved, from 0 to 1
 * @param steps the number of equal steps in which the share grows
 * @param stepMillis the shortest time between two steps
 */
public record PlannedMove(
    MoveId id,
    ServiceName service,
    RegionId from,
    RegionId to,
    double capShare,
    int steps,
    long stepMillis) {
  /** Checks that the regions differ, and that share, steps and time are in range. */
  public PlannedMove {
    Preconditions.checkArgument(!from.equals(to), "from and to must be different regions");
    Preconditions.checkArgument(
        capShare > 0 && capShare <= 1, "capShare must be above 0 and at most 1");
    Preconditions.checkArgument(steps > 0, "steps must be positive");
    Preconditions.checkArgument(stepMillis > 0, "stepMillis must be positive");
  }
}
