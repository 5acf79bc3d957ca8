package org.mustardstage.core.placement;

import java.util.HashMap;
import java.util.Map;
import org.mustardstage.core.gateway.RoutingRule;

/**
 * How long requests run at an endpoint, by rule, learned from answers: apart for endpoints that
 * have handled the object lately and for others.
 */
final class ServiceTimeEstimates {
  /** The share of the objective that a request is taken to need before any answer was seen. */
  private static final double INITIAL_SHARE_OF_OBJECTIVE = 0.8;

  /** The weight of one answer; about the last ten decide. */
  private static final double SMOOTHING_FACTOR = 0.1;

  /** Only from this ratio on can the two times be told apart by one answer. */
  private static final double MIN_COLD_TO_WARM_RATIO = 1.5;

  private static final double NANOS_PER_MILLI = 1e6;

  private final Map<String, Estimate> byRule = new HashMap<>();

  private static final class Estimate {
    private double warmNanos;
    private double coldNanos;

    boolean isWarm(boolean believedWarm, long nanos) {
      if (warmNanos == 0 || coldNanos < MIN_COLD_TO_WARM_RATIO * warmNanos) {
        return believedWarm;
      }
      return nanos < (warmNanos + coldNanos) / 2;
    }
  }

  /**
   * Takes in how long a request ran. Once both times are known, it counts for the one that it is
   * nearer to, as {@code believedWarm} is a guess. Returns which one that was.
   */
  boolean addSample(RoutingRule rule, boolean believedWarm, long nanos) {
    Estimate estimate = byRule.computeIfAbsent(rule.name(), name -> new Estimate());
    boolean warm = estimate.isWarm(believedWarm, nanos);
    if (warm) {
      estimate.warmNanos = smooth(estimate.warmNanos, nanos);
    } else {
      estimate.coldNanos = smooth(estimate.coldNanos, nanos);
    }
    return warm;
  }

  private static double smooth(double before, long sample) {
    return before == 0 ? sample : before + SMOOTHING_FACTOR * (sample - before);
  }

  /** Returns how long a request of {@code rule} is expected to run, warm by {@code warmOdds}. */
  double expectedNanos(RoutingRule rule, double warmOdds) {
    return warmOdds * expectedNanos(rule, true) + (1 - warmOdds) * expectedNanos(rule, false);
  }

  private double expectedNanos(RoutingRule rule, boolean warm) {
    Estimate estimate = byRule.get(rule.name());
    double unseen = INITIAL_SHARE_OF_OBJECTIVE * rule.latencyObjectiveMillis() * NANOS_PER_MILLI;
    if (estimate == null) {
      return unseen;
    }
    double asked = warm ? estimate.warmNanos : estimate.coldNanos;
    double other = warm ? estimate.coldNanos : estimate.warmNanos;
    if (asked > 0) {
      return asked;
    }
    return other > 0 ? other : unseen;
  }
}
