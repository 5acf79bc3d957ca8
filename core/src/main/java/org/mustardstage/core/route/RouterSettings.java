package org.mustardstage.core.route;

import com.google.common.base.Preconditions;

/**
 * The settings of the choice of endpoints.
 *
 * @param maxCandidates the most endpoints named for a request
 * @param jitterShare how far scores are spread at random, so that entry VMs don't herd
 * @param slowStartNanos the time in which a new endpoint gets its whole share
 * @param slowStartMinShare the least share of a cold endpoint
 * @param maxRegionUsedShare the used share of the own region above which headroom is sought in
 *     other regions
 * @param maxRemoteUsedShare the used share of another region above which it gets nothing
 * @param maxRemoteShare the largest share of all slots that requests of other regions hold, while
 *     their own region has endpoints
 * @param delays the delays between places
 * @param ejection when an endpoint counts as an outlier
 */
public record RouterSettings(
    int maxCandidates,
    double jitterShare,
    long slowStartNanos,
    double slowStartMinShare,
    double maxLocalUtilization,
    double maxRemoteUtilization,
    double maxRemoteShare,
    NetworkDelays delays,
    EjectionSettings ejection) {
  /** The settings used where nothing else is said. */
  public static final RouterSettings DEFAULT =
      new RouterSettings(
          8,
          0.2,
          10_000_000_000L,
          0.1,
          0.9,
          0.7,
          0.1,
          NetworkDelays.DEFAULT,
          EjectionSettings.DEFAULT);

  /** Checks the bounds. */
  public RouterSettings {
    Preconditions.checkArgument(maxCandidates > 0, "candidates must be positive");
    Preconditions.checkArgument(jitterShare >= 0 && jitterShare < 1, "jitter out of range");
  }
}
