package org.mustardstage.core.overload;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Guards against retry storms: callers that are rejected at the same time and get similar delays
 * come back together and overload the service again.
 */
class RetryAfterSchedulerTest {
  private static final double DEPARTURES_PER_SECOND = 1_000;

  private final RetryAfterScheduler scheduler =
      new RetryAfterScheduler(RetryAfterSettings.DEFAULT, new SplittableRandom(1));

  @Test
  void schedulesNoMoreRetriesPerSecondThanTheRetryShare() {
    int[] perSecond = new int[11];
    for (int i = 0; i < 2_000; i++) {
      perSecond[(int) (scheduler.nextMillis(0, DEPARTURES_PER_SECOND) / 1_000)]++;
    }
    for (int count : perSecond) {
      assertThat(count, lessThanOrEqualTo(252));
    }
  }

  @Test
  void spreadsRetriesBeyondTheRangeOverItsLaterHalf() {
    for (int i = 0; i < 10_000; i++) {
      scheduler.nextMillis(0, DEPARTURES_PER_SECOND);
    }
    int[] perSecond = new int[11];
    for (int i = 0; i < 5_000; i++) {
      perSecond[(int) (scheduler.nextMillis(0, DEPARTURES_PER_SECOND) / 1_000)]++;
    }
    for (int second = 5; second < 10; second++) {
      assertThat(perSecond[second], both(greaterThanOrEqualTo(850)).and(lessThanOrEqualTo(1_150)));
    }
  }

  @Test
  void delayStaysInRangeWhenNothingDeparts() {
    long millis = scheduler.nextMillis(0, 1e-9);
    assertThat(millis, both(greaterThanOrEqualTo(5_000L)).and(lessThanOrEqualTo(10_000L)));
  }

  @Test
  void firstDelayIsMinimalWhenTheRateIsUnknown() {
    long millis = scheduler.nextMillis(0, Double.POSITIVE_INFINITY);
    assertThat(millis, both(greaterThanOrEqualTo(100L)).and(lessThanOrEqualTo(101L)));
  }
}
