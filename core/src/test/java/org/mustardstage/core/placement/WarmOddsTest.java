package org.mustardstage.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;

class WarmOddsTest {
  private final WarmOdds odds = new WarmOdds();

  @Test
  void oddsFollowTheAnswersOfEachRegion() {
    for (int i = 0; i < 60; i++) {
      odds.observe(Scenes.NEAR, true);
      odds.observe(Scenes.FAR, false);
    }

    assertThat(odds.in(Scenes.NEAR), greaterThan(0.9));
    assertThat(odds.in(Scenes.FAR), lessThan(0.1));
  }

  @Test
  void regionWithoutAnswersIsWorthATry() {
    assertThat(odds.in(Scenes.FAR), is(0.5));
  }
}
