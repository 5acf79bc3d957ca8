package org.mustardstage.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.mustardstage.core.placement.PlacementFixtures.NANOS_PER_MILLI;
import static org.mustardstage.core.placement.PlacementFixtures.NANOS_PER_SECOND;

import java.util.OptionalDouble;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Guards against endpoints that are left too late, for noise, or for good. */
class WorkDurationEstimateTest {
  private final WorkDurationEstimate estimate = new WorkDurationEstimate();
  private long nowNanos = NANOS_PER_SECOND;

  private void report(int count, long intervalMillis, double duration) {
    for (int i = 0; i < count; i++) {
      nowNanos += intervalMillis * NANOS_PER_MILLI;
      estimate.addReport(nowNanos, duration);
    }
  }

  @Test
  void machineThatTurnsSlowIsNoticedWithinASecondAndTakenBack() {
    report(50, 20, 1);
    report(50, 20, 6);
    assertThat(estimate.estimate(nowNanos), greaterThan(5.0));

    report(50, 20, 1);
    assertThat(estimate.estimate(nowNanos), lessThan(1.2));
  }

  @Test
  void noiseIsAveraged() {
    SplittableRandom random = new SplittableRandom(7);
    for (int i = 0; i < 200; i++) {
      report(1, 10, 0.6 + 0.9 * random.nextDouble());
    }
    assertThat(estimate.estimate(nowNanos), closeTo(1, 0.15));
  }

  @Test
  void outdatedReportFades() {
    report(1, 20, 6);
    assertThat(estimate.estimate(nowNanos + 10 * NANOS_PER_SECOND), lessThan(1.1));
  }

  @Test
  void absurdReportIsBounded() {
    report(1, 20, 1e300);
    assertThat(estimate.estimate(nowNanos), lessThan(21.0));
    report(100, 20, 1e-300);
    assertThat(estimate.estimate(nowNanos), greaterThan(0.2));
  }

  /** An endpoint that always claims to be six times slower but isn't must not stay unused. */
  @Test
  void falseReportIsCorrectedByResponses() {
    EndpointState state =
        new EndpointState(PlacementFixtures.endpoint("e", PlacementFixtures.OWN_ZONE, 6), nowNanos);
    for (int i = 0; i < 60; i++) {
      nowNanos += 100 * NANOS_PER_MILLI;
      state.recordLoadReport(
          nowNanos, new AttemptResult.LoadReport(1, 0, 6, OptionalDouble.of(6)), 1e8);
      state.recordServiceTime(nowNanos, 1e8, 1e8 * state.slowness(nowNanos));
    }
    assertThat(state.slowness(nowNanos), closeTo(1, 0.1));
  }

  @Test
  void withoutReportsWorkTakesAsLongAsUsual() {
    assertThat(estimate.estimate(nowNanos), is(1.0));
  }
}
