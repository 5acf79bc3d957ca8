package org.mustardstage.core.route;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.manifest.PlaceLimit;

/**
 * Guards against a region that gets more than its configured share or rate, also for a short time
 * and with retries counted.
 */
class RegionLimitsTest {
  private static final RegionId REGION = new RegionId("east");
  private static final long NANOS_PER_SECOND = 1_000_000_000;

  @Test
  void regionWithoutALimitIsUnlimited() {
    RegionLimits limits = new RegionLimits(0, List.of(), 1);
    assertThat(limits.maySend(0, REGION), is(true));
  }

  @Test
  void regionWithShareZeroGetsNothing() {
    RegionLimits limits = limits(0, 1_000, 1);
    limits.recordFirstAttempt();
    assertThat(limits.maySend(0, REGION), is(false));
  }

  @Test
  void staysWithinItsPartOfTheRate() {
    RegionLimits limits = limits(1, 100, 10);
    for (int i = 0; i < 100; i++) {
      limits.recordFirstAttempt();
    }
    int sent = 0;
    for (long millis = 0; millis <= 1_000; millis++) {
      long nowNanos = millis * NANOS_PER_SECOND / 1_000;
      if (limits.maySend(nowNanos, REGION)) {
        limits.recordAttempt(nowNanos, REGION);
        sent++;
      }
    }
    assertThat(sent, lessThanOrEqualTo(11));
  }

  @Property(tries = 200, seed = "4204")
  void neverExceedsTheShareAtAnyMoment(@ForAll @Size(max = 300) List<Boolean> firstAttempts) {
    RegionLimits limits = limits(0.3, 1_000_000, 1);
    int firstAttemptCount = 0;
    int sent = 0;
    for (boolean isFirstAttempt : firstAttempts) {
      if (isFirstAttempt) {
        limits.recordFirstAttempt();
        firstAttemptCount++;
      }
      if (limits.maySend(0, REGION)) {
        limits.recordAttempt(0, REGION);
        sent++;
      }
      assertThat(sent, lessThanOrEqualTo(1 + firstAttemptCount * 3 / 10));
    }
  }

  private static RegionLimits limits(double maxShare, long perSecond, int entryVms) {
    return new RegionLimits(0, List.of(new PlaceLimit(REGION, maxShare, perSecond)), entryVms);
  }
}
