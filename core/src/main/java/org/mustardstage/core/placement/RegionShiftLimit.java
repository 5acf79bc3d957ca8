package org.mustardstage.core.placement;

import com.google.common.base.Preconditions;
import java.time.Duration;

/**
 * The limit that operators set on how fast requests shift between regions.
 *
 * @param maxShare the largest share of a region's requests that may run in another region than in
 *     the previous window, in (0, 1]
 * @param window the length of a window
 */
public record RegionShiftLimit(double maxShare, Duration window) {
  /** Checks the ranges. */
  public RegionShiftLimit {
    Preconditions.checkArgument(
        maxShare > 0 && maxShare <= 1, "maxShare must be in (0, 1]: %s", maxShare);
    Preconditions.checkArgument(window.isPositive(), "window must be positive: %s", window);
  }
}
