package org.mustardstage.core.placement;

import java.util.HashMap;
import java.util.Map;
import org.mustardstage.core.gateway.RoutingRule;

/**
 * Estimates the service time of requests for each routing rule from responses. Separate estimates
 * are kept for warm requests, whose affinity key the endpoint recently handled, and cold ones.
 */
final class ServiceTimeEstimates {
  /** Service time assumed before the first response, as a share of the latency objective. */
  private static final double INITIAL_SHARE_OF_OBJECTIVE = 0.8;

  /** Smoothing factor; about the last ten responses determine the average. */
  private static final double SMOOTHING_FACTOR = 0.1;

  /** Below this ratio, one response does not show whether the request was warm or cold. */
  private static final double MIN_COLD_TO_WARM_RATIO = 1.5;

  private static final double NANOS_PER_MILLI = 1e6;

  private final Map<String, Estimate> byRule = new HashMap<>();

  private static final class Estimate {
    private double warmNanos;
    private double coldNanos;

    boolean isWarm(boolean assumedWarm, long nanos) {
      if (warmNanos == 0 || coldNanos < MIN_COLD_TO_WARM_RATIO * warmNanos) {
        return assumedWarm;
      }
      return nanos < (warmNanos + coldNanos) / 2;
    }
  }

  /**
   * Updates the estimates with the service time of one request. Once both estimates are known and
   * differ enough, the sample counts for the nearer one, as {@code assumedWarm} is a guess.
   *
   * @return whether the sample was counted as warm
   */
  boolean addSample(RoutingRule rule, boolean assumedWarm, long nanos) {
    Estimate estimate = byRule.computeIfAbsent(rule.name(), name -> new Estimate());
    boolean warm = estimate.isWarm(assumedWarm, nanos);
    if (warm) {
      estimate.warmNanos = smooth(estimate.warmNanos, nanos);
    } else {
      estimate.coldNanos = smooth(estimate.coldNanos, nanos);
    }
    return warm;
  }

  private static double smooth(double average, long sample) {
    return average == 0 ? sample : average + SMOOTHING_FACTOR * (sample - average);
  }

  /** Returns the expected service time of a request that is warm with the given probability. */
  double expectedNanos(RoutingRule rule, double warmProbability) {
    return warmProbability * expectedNanos(rule, true)
        + (1 - warmProbability) * expectedNanos(rule, false);
  }

  private double expectedNanos(RoutingRule rule, boolean warm) {
    Estimate estimate = byRule.get(rule.name());
    double initialNanos =
        INITIAL_SHARE_OF_OBJECTIVE * rule.latencyObjectiveMillis() * NANOS_PER_MILLI;
    if (estimate == null) {
      return initialNanos;
    }
    double estimateNanos = warm ? estimate.warmNanos : estimate.coldNanos;
    double otherNanos = warm ? estimate.coldNanos : estimate.warmNanos;
    if (estimateNanos > 0) {
      return estimateNanos;
    }
    return otherNanos > 0 ? otherNanos : initialNanos;
  }
}
