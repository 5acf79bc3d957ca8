package org.mustardstage.core.route;

import com.google.common.base.Preconditions;

/**
 * The settings of {@link OutlierEjection}.
 *
 * @param maxEjectedShare the largest share of the endpoints of a service that may be ejected or
 *     probed at the same time
 * @param minSamples the smallest number of recent results by which an endpoint may be ejected
 * @param maxFailureShare the share of failures above which an endpoint is an outlier
 * @param maxSlowdown the multiple of the median service time above which an endpoint is an outlier
 * @param baseEjectionNanos how long the first ejection lasts; each further one lasts twice as long
 * @param maxEjectionNanos the longest ejection, and the time without ejection after which earlier
 *     ones no longer count
 * @param requiredProbeSuccesses the number of consecutive successful probes that restore an
 *     endpoint
 */
public record EjectionSettings(
    double maxEjectedShare,
    int minSamples,
    double maxFailureShare,
    double maxSlowdown,
    long baseEjectionNanos,
    long maxEjectionNanos,
    int requiredProbeSuccesses) {
  /** The default settings. */
  public static final EjectionSettings DEFAULT =
      new EjectionSettings(0.25, 8, 0.5, 3, 5_000_000_000L, 60_000_000_000L, 3);

  /** Checks the shares, times and counts. */
  public EjectionSettings {
    Preconditions.checkArgument(
        maxEjectedShare >= 0 && maxEjectedShare < 1,
        "maxEjectedShare must be from 0 to less than 1");
    Preconditions.checkArgument(minSamples > 0, "minSamples must be positive");
    Preconditions.checkArgument(maxSlowdown > 1, "maxSlowdown must be greater than 1");
    Preconditions.checkArgument(baseEjectionNanos > 0, "baseEjectionNanos must be positive");
    Preconditions.checkArgument(
        maxEjectionNanos >= baseEjectionNanos,
        "maxEjectionNanos must be at least baseEjectionNanos");
    Preconditions.checkArgument(
        requiredProbeSuccesses > 0, "requiredProbeSuccesses must be positive");
  }
}
