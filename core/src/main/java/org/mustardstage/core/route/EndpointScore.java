package org.mustardstage.core.route;

import org.mustardstage.core.manifest.Objective;

/** Says how good a choice an endpoint is by the objective of its service, lower is better. */
final class EndpointScore {
  private static final double LOAD_WEIGHT = 0.5;
  private static final double MIN_UTILIZATION = 0.05;
  private static final double NOISE_RATIO = 1.5;

  private EndpointScore() {}

  /** Returns the score of an endpoint. */
  static double of(
      Objective objective,
      EndpointState endpoint,
      double serviceNanos,
      double usualNanos,
      double usedShare) {
    return switch (objective) {
      case LATENCY ->
          endpoint.roundTripNanos()
              + withLoadPenalty(withoutNoise(serviceNanos, usualNanos), usedShare);
      case HEADROOM ->
          (usedShare + MIN_UTILIZATION)
              * slowdown(withoutNoise(serviceNanos, usualNanos), usualNanos);
    };
  }

  private static double withLoadPenalty(double serviceNanos, double usedShare) {
    return serviceNanos * (1 + LOAD_WEIGHT * usedShare * usedShare);
  }

  private static double slowdown(double serviceNanos, double usualNanos) {
    return usualNanos > 0 ? serviceNanos / usualNanos : 1;
  }

  /** Returns the usual time for an endpoint that differs from it by no more than chance. */
  private static double withoutNoise(double serviceNanos, double usualNanos) {
    return serviceNanos <= NOISE_RATIO * usualNanos ? usualNanos : serviceNanos;
  }
}
