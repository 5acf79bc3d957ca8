package org.mustardstage.core.tenant;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against keys that are served for long after they were taken away. */
class KeyLifetimeTest {
  private static long nanos(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  @Test
  void keysAreAcceptedForTheirLifetimeAfterTheLastNews() {
    KeyLifetime lifetime = new KeyLifetime(OptionalLong.of(5_000));

    assertThat("without any news", lifetime.acceptsKeys(nanos(1)), is(false));
    lifetime.recordCurrent(nanos(100));
    assertThat(lifetime.acceptsKeys(nanos(5_100)), is(true));
    assertThat(lifetime.acceptsKeys(nanos(5_101)), is(false));
    lifetime.recordCurrent(nanos(6_000));
    assertThat(lifetime.acceptsKeys(nanos(11_000)), is(true));
    assertThat(lifetime.acceptsKeys(nanos(11_001)), is(false));
    assertThat("an idle store renews in time", lifetime.callWaitMillis(4_000) < 2_500, is(true));
  }

  @Test
  void withoutALifetimeKeysAreAcceptedForever() {
    KeyLifetime lifetime = new KeyLifetime(OptionalLong.empty());

    assertThat(lifetime.acceptsKeys(Long.MAX_VALUE), is(true));
    assertThat(lifetime.callWaitMillis(4_000), is(4_000L));
  }
}
