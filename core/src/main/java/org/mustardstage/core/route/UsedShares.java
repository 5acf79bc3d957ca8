package org.mustardstage.core.route;

import java.util.Arrays;
import java.util.List;

/**
 * Works out how much of each endpoint is used. A report that an endpoint is idle counts no further
 * than the own traffic there allows: an endpoint that got more than its part of the own traffic is
 * believed used by as much more than the others.
 */
final class UsedShares {
  private static final double PRIOR_SLOTS = 0.25;

  private final double[] reported;
  private final double[] sorted;

  /** Creates room for {@code endpoints} endpoints. */
  UsedShares(int endpoints) {
    this.reported = new double[endpoints];
    this.sorted = new double[endpoints];
  }

  /** Returns the used share of each endpoint; the array is reused by the next call. */
  double[] estimate(long nowNanos, List<RoutedEndpoint> endpoints) {
    double ownBusy = 0;
    double slots = 0;
    for (int i = 0; i < reported.length; i++) {
      RoutedEndpoint endpoint = endpoints.get(i);
      reported[i] = endpoint.health().usedShare(nowNanos);
      ownBusy += endpoint.health().ownSlotsBusy(nowNanos);
      slots += endpoint.site().slots();
    }
    double usual = median();
    for (int i = 0; i < reported.length; i++) {
      RoutedEndpoint endpoint = endpoints.get(i);
      double part = ownBusy * endpoint.site().slots() / slots;
      double own = endpoint.health().ownSlotsBusy(nowNanos);
      double seen = usual * own / (part + PRIOR_SLOTS);
      reported[i] = Math.min(1, Math.max(reported[i], seen));
    }
    return reported;
  }

  private double median() {
    System.arraycopy(reported, 0, sorted, 0, reported.length);
    Arrays.sort(sorted);
    return sorted[sorted.length / 2];
  }
}
