package org.mustardstage.core.route;

import org.mustardstage.core.manifest.Objective;

/** Ranks endpoints by the objective of their service. A lower score is better. */
final class EndpointScore {
  private static final double LOAD_WEIGHT = 0.5;
  private static final double MIN_UTILIZATION = 0.05;
  private static final double NOISE_RATIO = 1.5;

  private EndpointScore() {}

  /**
   * Returns the score of an endpoint: its expected latency, or its utilization weighted by how slow
   * it is. {@link #MIN_UTILIZATION} keeps idle endpoints comparable by speed.
   */
  static double of(
      Objective objective,
      EndpointState endpoint,
      double serviceNanos,
      double medianNanos,
      double utilization) {
    return switch (objective) {
      case LATENCY ->
          endpoint.roundTripNanos()
              + withLoadPenalty(withoutNoise(serviceNanos, medianNanos), utilization);
      case HEADROOM ->
          (utilization + MIN_UTILIZATION)
              * slowdown(withoutNoise(serviceNanos, medianNanos), medianNanos);
    };
  }

  private static double withLoadPenalty(double serviceNanos, double utilization) {
    return serviceNanos * (1 + LOAD_WEIGHT * utilization * utilization);
  }

  private static double slowdown(double serviceNanos, double medianNanos) {
    return medianNanos > 0 ? serviceNanos / medianNanos : 1;
  }

  /**
   * Returns the service time, or the median when the difference may be noise, so that such
   * differences don't decide between endpoints.
   */
  private static double withoutNoise(double serviceNanos, double medianNanos) {
    return serviceNanos <= NOISE_RATIO * medianNanos ? medianNanos : serviceNanos;
  }
}
