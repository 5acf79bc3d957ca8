package org.mustardstage.core.placement;

import java.util.HashMap;
import java.util.Map;
import org.mustardstage.core.gateway.Rule;

/**
 * How long requests run at an endpoint, by rule, learned from answers: apart for endpoints that
 * have handled the object lately and for others.
 */
final class WorkTimes {
  /** The share of the objective that a request is taken to need before any answer was seen. */
  private static final double UNSEEN_SHARE_OF_AIM = 0.8;

  /** The weight of one answer; about the last ten decide. */
  private static final double SAMPLE_WEIGHT = 0.1;

  private static final double NANOS_PER_MILLI = 1e6;

  private final Map<String, Estimate> byRule = new HashMap<>();

  private static final class Estimate {
    private double warmNanos;
    private double coldNanos;
  }

  /** Takes in how long a request ran. */
  void observe(Rule rule, boolean warm, long nanos) {
    Estimate estimate = byRule.computeIfAbsent(rule.name(), name -> new Estimate());
    if (warm) {
      estimate.warmNanos = mix(estimate.warmNanos, nanos);
    } else {
      estimate.coldNanos = mix(estimate.coldNanos, nanos);
    }
  }

  private static double mix(double before, long sample) {
    return before == 0 ? sample : before + SAMPLE_WEIGHT * (sample - before);
  }

  /** Returns how long a request of {@code rule} is expected to run. */
  double expectedNanos(Rule rule, boolean warm) {
    Estimate estimate = byRule.get(rule.name());
    double unseen = UNSEEN_SHARE_OF_AIM * rule.aimMillis() * NANOS_PER_MILLI;
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

  /** Forgets the rules that {@code kept} does not name. */
  void retain(java.util.Set<String> kept) {
    byRule.keySet().retainAll(kept);
  }
}
