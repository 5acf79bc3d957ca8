package org.mustardstage.core.route;

import com.google.common.base.Preconditions;

/**
 * When an endpoint counts as an outlier.
 *
 * @param maxEjectedShare the largest share of the endpoints of a service that is ejected at once
 * @param minSamples the least number of recent answers by which an endpoint is judged
 * @param maxFailureShare the share of failures above which an endpoint is an outlier
 * @param maxSlowdown the multiple of the median service time above which it is an outlier
 * @param baseEjectionNanos how long the first ejection lasts; each further one lasts twice as long
 * @param maxEjectionNanos the longest ejection
 * @param probesToReturn the good answers in a row that end a probation
 */
public record EjectionSettings(
    double maxEjectedShare,
    int minSamples,
    double maxFailureShare,
    double maxSlowdown,
    long baseEjectionNanos,
    long maxEjectionNanos,
    int requiredProbeSuccesses) {
  /** The settings used where nothing else is said. */
  public static final EjectionSettings DEFAULT =
      new EjectionSettings(0.25, 8, 0.5, 3, 5_000_000_000L, 60_000_000_000L, 3);

  /** Checks the shares, times and counts. */
  public EjectionSettings {
    Preconditions.checkArgument(maxEjectedShare >= 0 && maxEjectedShare < 1, "share out of range");
    Preconditions.checkArgument(minSamples > 0, "samples must be positive");
    Preconditions.checkArgument(maxSlowdown > 1, "slowdown must be above 1");
    Preconditions.checkArgument(baseEjectionNanos > 0, "ejection time must be positive");
    Preconditions.checkArgument(maxEjectionNanos >= baseEjectionNanos, "ejection times crossed");
    Preconditions.checkArgument(requiredProbeSuccesses > 0, "probes must be positive");
  }
}
