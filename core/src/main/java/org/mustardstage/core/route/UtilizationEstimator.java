package org.mustardstage.core.route;

import java.util.Arrays;
import java.util.List;

/**
 * Works out how much of each endpoint is used. A report that an endpoint is idle counts no further
 * than the own traffic there allows: an endpoint that got more than its part of the own traffic is
 * believed used by as much more than the others.
 */
final class UtilizationEstimator {
  private static final double PRIOR_SLOTS = 0.25;

  private final double[] utilizations;
  private final double[] sorted;

  /** Creates room for {@code endpoints} endpoints. */
  UtilizationEstimator(int endpoints) {
    this.utilizations = new double[endpoints];
    this.sorted = new double[endpoints];
  }

  /** Returns the used share of each endpoint; the array is reused by the next call. */
  double[] estimate(long nowNanos, List<EndpointState> endpoints) {
    double ownBusy = 0;
    double slots = 0;
    for (int i = 0; i < utilizations.length; i++) {
      EndpointState endpoint = endpoints.get(i);
      utilizations[i] = endpoint.health().utilization(nowNanos);
      ownBusy += endpoint.health().ownSlotsInUse(nowNanos);
      slots += endpoint.location().slots();
    }
    double usual = median();
    for (int i = 0; i < utilizations.length; i++) {
      EndpointState endpoint = endpoints.get(i);
      double part = ownBusy * endpoint.location().slots() / slots;
      double own = endpoint.health().ownSlotsInUse(nowNanos);
      double seen = usual * own / (part + PRIOR_SLOTS);
      utilizations[i] = Math.min(1, Math.max(utilizations[i], seen));
    }
    return utilizations;
  }

  private double median() {
    System.arraycopy(utilizations, 0, sorted, 0, utilizations.length);
    Arrays.sort(sorted);
    return sorted[sorted.length / 2];
  }
}
