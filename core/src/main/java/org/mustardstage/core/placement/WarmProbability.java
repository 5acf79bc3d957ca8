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
final class WarmProbability {
  /** The weight of one answer; about the last twenty decide. */
  private static final double SMOOTHING_FACTOR = 0.05;

  /** The odds before any answer; lower ones would never be tried in another region. */
  private static final double INITIAL_PROBABILITY = 0.5;

  private final Map<RegionId, Double> byRegion = new HashMap<>();

  /** Takes in whether a request for such an object ran as fast as on warm ones. */
  void addSample(RegionId region, boolean ranWarm) {
    double sample = ranWarm ? 1 : 0;
    byRegion.put(region, inRegion(region) + SMOOTHING_FACTOR * (sample - inRegion(region)));
  }

  /** Returns the odds, from 0 to 1. */
  double inRegion(RegionId region) {
    return byRegion.getOrDefault(region, INITIAL_PROBABILITY);
  }
}
