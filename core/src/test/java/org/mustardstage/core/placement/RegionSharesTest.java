package org.mustardstage.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.mustardstage.core.placement.Scenes.FAR;
import static org.mustardstage.core.placement.Scenes.MILLI;
import static org.mustardstage.core.placement.Scenes.SECOND;

import java.util.Optional;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.id.RegionId;

class RegionSharesTest {
  private static final RegionId OTHER = new RegionId("west");

  private final RegionShiftLimiter shares = Scenes.regionShares();
  private long nowNanos = SECOND;

  /** Plays two seconds of 100 requests; returns the share that another region gets. */
  private double play(Optional<RegionId> wish) {
    int away = 0;
    for (int i = 0; i < 100; i++) {
      nowNanos += 20 * MILLI;
      Optional<RegionId> chosen =
          wish.filter(region -> shares.allows(nowNanos, region)).or(() -> shares.owed(nowNanos));
      shares.onPlaced(nowNanos, chosen);
      away += chosen.isPresent() ? 1 : 0;
    }
    return away / 100.0;
  }

  @Test
  void shareThatIsSentAwayRisesWithinTheLimit() {
    double before = 0;
    for (int i = 0; i < 6; i++) {
      double share = play(Optional.of(FAR));
      assertThat(share - before, lessThan(0.15));
      before = share;
    }

    assertThat(before, greaterThan(0.5));
  }

  /** See KNOWN-RED.txt. */
  @Tag("known-red")
  @Test
  void shareThatIsSentAwayFallsWithinTheLimit() {
    double before = 0;
    for (int i = 0; i < 6; i++) {
      before = play(Optional.of(FAR));
    }

    for (int i = 0; i < 10; i++) {
      double share = play(Optional.empty());
      assertThat(before - share, lessThan(0.15));
      before = share;
    }
    assertThat(before, lessThan(0.05));
  }

  @Test
  void shareGoesOverFromOneRegionToAnotherWithinTheLimit() {
    for (int i = 0; i < 6; i++) {
      play(Optional.of(FAR));
    }
    double total = 0;
    for (int i = 0; i < 100; i++) {
      nowNanos += 20 * MILLI;
      Optional<RegionId> chosen =
          Optional.of(OTHER).filter(region -> shares.allows(nowNanos, region));
      shares.onPlaced(nowNanos, chosen);
      total += chosen.isPresent() ? 1 : 0;
    }

    assertThat(total / 100, lessThan(0.15));
  }

  @Test
  void requestsOfLostEndpointsMoveAtOnce() {
    play(Optional.empty());

    shares.onEndpointsLost(nowNanos);

    assertThat(play(Optional.of(FAR)), is(1.0));
    assertThat(play(Optional.of(FAR)), greaterThan(0.9));
  }

  @Test
  void oneRequestMayBeSentBeforeAnyShareIsKnown() {
    assertThat(shares.allows(nowNanos, FAR), is(true));

    shares.onPlaced(nowNanos, Optional.of(FAR));

    assertThat(shares.allows(nowNanos, FAR), is(false));
    assertThat(shares.owed(nowNanos), is(Optional.empty()));
  }

  @Test
  void idleTimeAllowsNoLargerStepThanOneWindow() {
    nowNanos += 60 * SECOND;

    assertThat(play(Optional.of(FAR)), lessThan(0.3));
    assertThat(shares.owed(nowNanos), is(Optional.empty()));
  }
}
