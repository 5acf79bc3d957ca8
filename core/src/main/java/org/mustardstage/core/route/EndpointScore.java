package org.mustardstage.core.route;

import org.mustardstage.core.manifest.Objective;

/** Says how good a choice an endpoint is by the objective of its service, lower is better. */
final class EndpointScore {
  private static final double LOAD_WEIGHT = 0.5;
  private static final double LEAST_USED_SHARE = 0.05;
  private static final double SAME_SPEED_RATIO = 1.5;

  private EndpointScore() {}

  /** Returns the score of an endpoint. */
  static double of(
      Objective objective,
      RoutedEndpoint endpoint,
      double serviceNanos,
      double usualNanos,
      double usedShare) {
    return switch (objective) {
      case LATENCY ->
          endpoint.roundTripNanos() + loaded(levelled(serviceNanos, usualNanos), usedShare);
      case HEADROOM ->
          (usedShare + LEAST_USED_SHARE) * slowdown(levelled(serviceNanos, usualNanos), usualNanos);
    };
  }

  private static double loaded(double serviceNanos, double usedShare) {
    return serviceNanos * (1 + LOAD_WEIGHT * usedShare * usedShare);
  }

  private static double slowdown(double serviceNanos, double usualNanos) {
    return usualNanos > 0 ? serviceNanos / usualNanos : 1;
  }

  /** Returns the usual time for an endpoint that differs from it by no more than chance. */
  private static double levelled(double serviceNanos, double usualNanos) {
    return serviceNanos <= SAME_SPEED_RATIO * usualNanos ? usualNanos : serviceNanos;
  }
}
