package org.mustardstage.core.route;

import java.util.Arrays;
import java.util.List;

/**
 * Estimates the utilization of each endpoint. Reports of low utilization are checked against the
 * traffic of this entry VM: an endpoint that runs more of it than its slots account for is assumed
 * to exceed the median utilization by the same factor, so that an endpoint that falsely reports to
 * be idle can't attract all traffic.
 */
final class UtilizationEstimator {
  private static final double PRIOR_SLOTS = 0.25;

  private final double[] utilizations;
  private final double[] sorted;

  /** Creates an estimator for {@code endpoints} endpoints. */
  UtilizationEstimator(int endpoints) {
    this.utilizations = new double[endpoints];
    this.sorted = new double[endpoints];
  }

  /** Returns the utilization of each endpoint; the next call overwrites the array. */
  double[] estimate(long nowNanos, List<EndpointState> endpoints) {
    double ownSlotsInUse = 0;
    double slots = 0;
    for (int i = 0; i < utilizations.length; i++) {
      EndpointState endpoint = endpoints.get(i);
      utilizations[i] = endpoint.health().utilization(nowNanos);
      ownSlotsInUse += endpoint.health().ownSlotsInUse(nowNanos);
      slots += endpoint.location().slots();
    }
    double medianUtilization = median();
    for (int i = 0; i < utilizations.length; i++) {
      EndpointState endpoint = endpoints.get(i);
      double proportionalSlots = ownSlotsInUse * endpoint.location().slots() / slots;
      double ownSlots = endpoint.health().ownSlotsInUse(nowNanos);
      double impliedUtilization = medianUtilization * ownSlots / (proportionalSlots + PRIOR_SLOTS);
      utilizations[i] = Math.min(1, Math.max(utilizations[i], impliedUtilization));
    }
    return utilizations;
  }

  private double median() {
    System.arraycopy(utilizations, 0, sorted, 0, utilizations.length);
    Arrays.sort(sorted);
    return sorted[sorted.length / 2];
  }
}
