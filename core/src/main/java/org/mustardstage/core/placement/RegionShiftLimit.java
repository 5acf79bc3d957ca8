package org.mustardstage.core.placement;

import com.google.common.base.Preconditions;
import java.time.Duration;

/**
 * How fast operators let requests change the region in which they run.
 *
 * @param share the largest share of a region's requests that may run in another region than in the
 *     window before
 * @param window the length of a window
 */
public record RegionShiftLimit(double maxShare, Duration window) {
  /** Checks the ranges. */
  public RegionShiftLimit {
    Preconditions.checkArgument(
        maxShare > 0 && maxShare <= 1, "share must be in (0, 1]: %s", maxShare);
    Preconditions.checkArgument(window.isPositive(), "window must be positive: %s", window);
  }
}
