package org.mustardstage.core.manifest;

import com.google.common.base.Preconditions;
import org.mustardstage.core.id.MoveId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ServiceName;

/**
 * A planned shift of a share of a service's traffic from one region to another.
 *
 * @param id the name of the move
 * @param service the service
 * @param from the region that gives traffic
 * @param to the region that receives it
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
  /** Checks shares, steps and that the regions differ. */
  public PlannedMove {
    Preconditions.checkArgument(!from.equals(to), "a move needs two regions");
    Preconditions.checkArgument(capShare > 0 && capShare <= 1, "cap must be above 0, at most 1");
    Preconditions.checkArgument(steps > 0, "steps must be positive");
    Preconditions.checkArgument(stepMillis > 0, "step time must be positive");
  }
}
