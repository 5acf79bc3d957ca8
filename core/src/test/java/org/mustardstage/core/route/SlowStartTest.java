package org.mustardstage.core.route;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** Guards against a new or cold endpoint that gets its full share of traffic at once. */
class SlowStartTest {
  private final SlowStart slowStart = new SlowStart(100, 1_000, 0.1);

  @Test
  void growsLinearlyFromTheMinimumToTheFullShare() {
    assertThat(slowStart.share(100), is(0.1));
    assertThat(slowStart.share(600), is(0.5));
    assertThat(slowStart.share(1_100), is(1.0));
    assertThat(slowStart.share(9_000), is(1.0));
  }

  @Test
  void neverExceedsTheReportedWarmth() {
    slowStart.recordWarmth(0.3);
    assertThat(slowStart.share(9_000), is(0.3));
    slowStart.recordWarmth(0);
    assertThat(slowStart.share(9_000), is(0.1));
  }

  @Test
  void restartsAfterTheEndpointWasAbsent() {
    slowStart.restart(9_000);
    assertThat(slowStart.share(9_200), is(0.2));
  }
}
