package org.mustardstage.core.placement;

import java.util.HashMap;
import java.util.Map;
import org.mustardstage.core.gateway.RoutingRule;

/**
 * How long requests run at an endpoint, by rule, learned from answers: apart for endpoints that
 * have handled the object lately and for others.
 */
final class WorkTimes {
  /** The share of the objective that a request is taken to need before any answer was seen. */
  private static final double UNSEEN_SHARE_OF_AIM = 0.8;

  /** The weight of one answer; about the last ten decide. */
  private static final double SAMPLE_WEIGHT = 0.1;

  /** Only from this ratio on can the two times be told apart by one answer. */
  private static final double CLEARLY_SLOWER = 1.5;

  private static final double NANOS_PER_MILLI = 1e6;

  private final Map<String, Estimate> byRule = new HashMap<>();

  private static final class Estimate {
    private double warmNanos;
    private double coldNanos;

    boolean isWarm(boolean believedWarm, long nanos) {
      if (warmNanos == 0 || coldNanos < CLEARLY_SLOWER * warmNanos) {
        return believedWarm;
      }
      return nanos < (warmNanos + coldNanos) / 2;
    }
  }

  /**
   * Takes in how long a request ran. Once both times are known, it counts for the one that it is
   * nearer to, as {@code believedWarm} is a guess. Returns which one that was.
   */
  boolean observe(RoutingRule rule, boolean believedWarm, long nanos) {
    Estimate estimate = byRule.computeIfAbsent(rule.name(), name -> new Estimate());
    boolean warm = estimate.isWarm(believedWarm, nanos);
    if (warm) {
      estimate.warmNanos = mix(estimate.warmNanos, nanos);
    } else {
      estimate.coldNanos = mix(estimate.coldNanos, nanos);
    }
    return warm;
  }

  private static double mix(double before, long sample) {
    return before == 0 ? sample : before + SAMPLE_WEIGHT * (sample - before);
  }

  /** Returns how long a request of {@code rule} is expected to run, warm by {@code warmOdds}. */
  double expectedNanos(RoutingRule rule, double warmOdds) {
    return warmOdds * expectedNanos(rule, true) + (1 - warmOdds) * expectedNanos(rule, false);
  }

  private double expectedNanos(RoutingRule rule, boolean warm) {
    Estimate estimate = byRule.get(rule.name());
    double unseen = UNSEEN_SHARE_OF_AIM * rule.latencyObjectiveMillis() * NANOS_PER_MILLI;
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
