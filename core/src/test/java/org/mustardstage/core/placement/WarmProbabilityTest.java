package org.mustardstage.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;

class WarmProbabilityTest {
  private final WarmProbability probability = new WarmProbability();

  @Test
  void probabilityConvergesPerRegion() {
    for (int i = 0; i < 60; i++) {
      probability.addSample(PlacementFixtures.OWN_REGION, true);
      probability.addSample(PlacementFixtures.REMOTE_REGION, false);
    }

    assertThat(probability.inRegion(PlacementFixtures.OWN_REGION), greaterThan(0.9));
    assertThat(probability.inRegion(PlacementFixtures.REMOTE_REGION), lessThan(0.1));
  }

  @Test
  void regionWithoutSamplesHasInitialProbability() {
    assertThat(probability.inRegion(PlacementFixtures.REMOTE_REGION), is(0.5));
  }
}
