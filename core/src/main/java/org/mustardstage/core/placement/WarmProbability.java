package org.mustardstage.core.placement;

import java.util.HashMap;
import java.util.Map;
import org.mustardstage.core.id.RegionId;

/**
 * Estimates, for each region, the probability that an affinity key is warm at its highest-ranked
 * endpoint although this VM hasn't recently sent it there.
 *
 * <p>Handles many VMs that send to few endpoints: in the own region, other VMs have almost always
 * requested the key before; in another region, only if some of the key's requests run there.
 */
final class WarmProbability {
  /** Smoothing factor; about the last twenty responses determine the average. */
  private static final double SMOOTHING_FACTOR = 0.05;

  /** With a lower initial probability, another region would never be tried. */
  private static final double INITIAL_PROBABILITY = 0.5;

  private final Map<RegionId, Double> byRegion = new HashMap<>();

  /** Records whether a request for such a key ran as fast as a warm one. */
  void addSample(RegionId region, boolean ranWarm) {
    double sample = ranWarm ? 1 : 0;
    byRegion.put(region, inRegion(region) + SMOOTHING_FACTOR * (sample - inRegion(region)));
  }

  /** Returns the probability, from 0 to 1. */
  double inRegion(RegionId region) {
    return byRegion.getOrDefault(region, INITIAL_PROBABILITY);
  }
}
