package org.mustardstage.core.manifest;

import com.google.common.base.Preconditions;
import org.mustardstage.core.id.RegionId;

/**
 * The network link between two regions, with the same capacity in each direction.
 *
 * @param first one region
 * @param second the other region
 * @param bitsPerSecond the capacity in each direction
 */
public record RegionLink(RegionId first, RegionId second, long bitsPerSecond) {
  /** Checks that the regions differ and the capacity is positive. */
  public RegionLink {
    Preconditions.checkArgument(
        !first.equals(second), "first and second must be different regions");
    Preconditions.checkArgument(bitsPerSecond > 0, "bitsPerSecond must be positive");
  }

  /** Returns whether the link connects {@code from} and {@code to}, in either order. */
  public boolean connects(RegionId from, RegionId to) {
    return (first.equals(from) && second.equals(to)) || (first.equals(to) && second.equals(from));
  }
}
