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

class PlaceLimitsTest {
  private static final RegionId REGION = new RegionId("east");
  private static final long SECOND = 1_000_000_000;

  @Test
  void aRegionWithoutALimitTakesAnything() {
    PlaceLimits limits = new PlaceLimits(0, List.of(), 1);
    assertThat(limits.mayUse(0, REGION), is(true));
  }

  @Test
  void aRegionWithShareZeroTakesNothing() {
    PlaceLimits limits = limits(0, 1_000, 1);
    limits.recordFirstAttempt();
    assertThat(limits.mayUse(0, REGION), is(false));
  }

  @Test
  void keepsToItsPartOfTheRate() {
    PlaceLimits limits = limits(1, 100, 10);
    for (int i = 0; i < 100; i++) {
      limits.recordFirstAttempt();
    }
    int sent = 0;
    for (long milli = 0; milli <= 1_000; milli++) {
      long nowNanos = milli * SECOND / 1_000;
      if (limits.mayUse(nowNanos, REGION)) {
        limits.recordAttempt(nowNanos, REGION);
        sent++;
      }
    }
    assertThat(sent, lessThanOrEqualTo(11));
  }

  @Property(tries = 200, seed = "4204")
  void neverExceedsItsShareAtAnyPrefix(@ForAll @Size(max = 300) List<Boolean> firstAttempts) {
    PlaceLimits limits = limits(0.3, 1_000_000, 1);
    int attempts = 0;
    int sent = 0;
    for (boolean first : firstAttempts) {
      if (first) {
        limits.recordFirstAttempt();
        attempts++;
      }
      if (limits.mayUse(0, REGION)) {
        limits.recordAttempt(0, REGION);
        sent++;
      }
      assertThat(sent, lessThanOrEqualTo(1 + attempts * 3 / 10));
    }
  }

  private static PlaceLimits limits(double maxShare, long perSecond, int senders) {
    return new PlaceLimits(0, List.of(new PlaceLimit(REGION, maxShare, perSecond)), senders);
  }
}
