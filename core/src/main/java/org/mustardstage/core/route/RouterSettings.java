package org.mustardstage.core.route;

import com.google.common.base.Preconditions;

/**
 * The settings of an {@link EndpointRouter}.
 *
 * @param maxCandidates the largest number of endpoints returned for a request
 * @param jitterShare the largest random increase of a score, as a share of it, so that entry VMs
 *     don't all select the same endpoint
 * @param slowStartNanos the time in which a new endpoint ramps up to its full share of traffic
 * @param slowStartMinShare the smallest share of traffic of a new or cold endpoint
 * @param maxLocalUtilization the utilization of the own region above which requests of a service
 *     with the headroom objective spill over to other regions
 * @param maxRemoteUtilization the utilization of another region above which nothing spills over to
 *     it
 * @param maxRemoteShare the largest share of all slots that spilled-over requests may hold, while
 *     their own region has endpoints
 * @param delays the network delays by distance
 * @param ejection the settings of outlier ejection
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
  /** The default settings. */
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

  /** Checks that the counts and shares are in range. */
  public RouterSettings {
    Preconditions.checkArgument(maxCandidates > 0, "maxCandidates must be positive");
    Preconditions.checkArgument(
        jitterShare >= 0 && jitterShare < 1, "jitterShare must be from 0 to less than 1");
  }
}
