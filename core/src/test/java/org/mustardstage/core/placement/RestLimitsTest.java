package org.mustardstage.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.mustardstage.core.manifest.HostAndPort;

class RestLimitsTest {
  private static final HostAndPort FORGETFUL = new HostAndPort("10.0.0.1", 80);
  private static final HostAndPort OTHER = new HostAndPort("10.0.0.2", 80);

  private final IdleConnectionLimits limits = new IdleConnectionLimits();

  @Test
  void connectionsRestWithoutLimitUntilOneIsForgotten() {
    assertThat(limits.maxIdleMillis(0, FORGETFUL, true), is(Long.MAX_VALUE));
    assertThat(limits.maxIdleMillis(0, FORGETFUL, false), is(Long.MAX_VALUE));
  }

  @Test
  void forgottenConnectionLimitsTheOthersOfItsAddress() {
    limits.recordReset(0, FORGETFUL, 400);

    assertThat(limits.maxIdleMillis(Scenes.SECOND, FORGETFUL, true), is(100L));
    assertThat(limits.maxIdleMillis(Scenes.SECOND, OTHER, true), is(Long.MAX_VALUE));
  }

  @Test
  void requestThatMustNotRunTwiceKeepsToTheLimitEverywhereWhenSeveralForget() {
    limits.recordReset(0, FORGETFUL, 400);
    limits.recordReset(0, new HostAndPort("10.0.0.3", 80), 2_000);
    limits.recordReset(0, new HostAndPort("10.0.0.4", 80), 800);

    assertThat(limits.maxIdleMillis(Scenes.SECOND, OTHER, false), is(100L));
    assertThat(limits.maxIdleMillis(Scenes.SECOND, OTHER, true), is(Long.MAX_VALUE));
  }

  /** Endpoints that crash reset what was just sent to them. */
  @Test
  void crashOfAnEndpointLimitsNoOther() {
    limits.recordReset(0, FORGETFUL, 400);
    limits.recordReset(0, new HostAndPort("10.0.0.3", 80), 12);
    limits.recordReset(0, new HostAndPort("10.0.0.4", 80), 40);

    assertThat(limits.maxIdleMillis(Scenes.SECOND, OTHER, false), is(Long.MAX_VALUE));
    assertThat(limits.maxIdleMillis(Scenes.SECOND, FORGETFUL, false), is(100L));
  }

  @Test
  void limitIsForgottenAfterQuietTime() {
    limits.recordReset(0, FORGETFUL, 400);

    assertThat(limits.maxIdleMillis(16 * Scenes.SECOND, FORGETFUL, true), is(Long.MAX_VALUE));
    assertThat(limits.maxIdleMillis(16 * Scenes.SECOND, OTHER, false), is(Long.MAX_VALUE));
  }
}
