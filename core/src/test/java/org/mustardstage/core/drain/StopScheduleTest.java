package org.mustardstage.core.drain;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class StopScheduleTest {
  private static final long NOW_NANOS = Long.MAX_VALUE - 1_000_000;
  private static final Duration STOP_TIME = Duration.ofSeconds(6);

  private static StopSchedule schedule(Duration lookupLifetime, Duration stopTime) {
    return StopSchedule.startingAt(NOW_NANOS, lookupLifetime, stopTime);
  }

  @Test
  void serveTimeIsTheLookupLifetimeButAtMostAThirdOfTheStop() {
    assertThat(schedule(Duration.ofSeconds(1), STOP_TIME).serveTime(), is(Duration.ofSeconds(1)));
    assertThat(schedule(Duration.ofSeconds(4), STOP_TIME).serveTime(), is(Duration.ofSeconds(2)));
  }

  /** Guards against requests that are accepted after SIGTERM and cut by the exit. */
  @Test
  void onlyRequestsThatEndBeforeTheExitAreAllowed() {
    StopSchedule schedule = schedule(Duration.ofSeconds(4), STOP_TIME);
    long exitNanos = NOW_NANOS + Duration.ofMillis(5_500).toNanos();

    assertThat(schedule.allowsDeadline(exitNanos), is(true));
    assertThat(schedule.allowsDeadline(exitNanos + 1), is(false));
  }

  @Test
  void stopShorterThanItsMarginExitsAtOnce() {
    StopSchedule schedule = schedule(Duration.ofSeconds(4), Duration.ofMillis(300));

    assertThat(schedule.untilExit(NOW_NANOS), is(Duration.ZERO));
    assertThat(schedule.allowsDeadline(NOW_NANOS + 1), is(false));
  }

  @Test
  void timeUntilTheExitIsNeverNegative() {
    StopSchedule schedule = schedule(Duration.ofSeconds(4), STOP_TIME);

    assertThat(schedule.untilExit(NOW_NANOS), is(Duration.ofMillis(5_500)));
    assertThat(schedule.untilExit(NOW_NANOS + STOP_TIME.toNanos()), is(Duration.ZERO));
  }

  @Test
  void negativeServeTimeIsRejected() {
    assertThrows(IllegalArgumentException.class, () -> new StopSchedule(Duration.ofSeconds(-1), 0));
  }
}
