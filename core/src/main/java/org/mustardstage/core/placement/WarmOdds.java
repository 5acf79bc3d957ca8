package org.mustardstage.core.placement;

import java.util.HashMap;
import java.util.Map;
import org.mustardstage.core.id.RegionId;

/**
 * How likely an object is warm at its first endpoint in a region although this VM hasn't sent it
 * there lately, learned from answers.
 *
 * <p>Answers the load in which many VMs send to few endpoints: at home, others have almost always
 * asked for the object before; in another region, only if some of its requests run there.
 */
final class WarmOdds {
  /** The weight of one answer; about the last twenty decide. */
  private static final double SAMPLE_WEIGHT = 0.05;

  /** The odds before any answer; lower ones would never be tried in another region. */
  private static final double UNSEEN = 0.5;

  private final Map<RegionId, Double> odds = new HashMap<>();

  /** Takes in whether a request for such an object ran as fast as on warm ones. */
  void observe(RegionId region, boolean ranWarm) {
    double sample = ranWarm ? 1 : 0;
    odds.put(region, in(region) + SAMPLE_WEIGHT * (sample - in(region)));
  }

  /** Returns the odds, from 0 to 1. */
  double in(RegionId region) {
    return odds.getOrDefault(region, UNSEEN);
  }
}
