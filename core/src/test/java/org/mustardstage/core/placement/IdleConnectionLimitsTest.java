package org.mustardstage.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.mustardstage.core.manifest.HostAndPort;

/**
 * Guards against requests that are lost on idle connections which an endpoint has silently dropped,
 * and against limits on all addresses after a crash of few endpoints.
 */
class IdleConnectionLimitsTest {
  private static final HostAndPort RESETTING = new HostAndPort("10.0.0.1", 80);
  private static final HostAndPort OTHER = new HostAndPort("10.0.0.2", 80);

  private final IdleConnectionLimits limits = new IdleConnectionLimits();

  @Test
  void idleTimeIsUnlimitedUntilFirstReset() {
    assertThat(limits.maxIdleMillis(0, RESETTING, true), is(Long.MAX_VALUE));
    assertThat(limits.maxIdleMillis(0, RESETTING, false), is(Long.MAX_VALUE));
  }

  @Test
  void resetLimitsConnectionsToSameAddress() {
    limits.recordReset(0, RESETTING, 400);

    assertThat(limits.maxIdleMillis(PlacementFixtures.NANOS_PER_SECOND, RESETTING, true), is(100L));
    assertThat(
        limits.maxIdleMillis(PlacementFixtures.NANOS_PER_SECOND, OTHER, true), is(Long.MAX_VALUE));
  }

  @Test
  void nonIdempotentRequestUsesStrictestLimitWhenSeveralAddressesReset() {
    limits.recordReset(0, RESETTING, 400);
    limits.recordReset(0, new HostAndPort("10.0.0.3", 80), 2_000);
    limits.recordReset(0, new HostAndPort("10.0.0.4", 80), 800);

    assertThat(limits.maxIdleMillis(PlacementFixtures.NANOS_PER_SECOND, OTHER, false), is(100L));
    assertThat(
        limits.maxIdleMillis(PlacementFixtures.NANOS_PER_SECOND, OTHER, true), is(Long.MAX_VALUE));
  }

  /** A crash resets connections that were idle only briefly, which is no idle timeout. */
  @Test
  void endpointCrashDoesNotLimitOtherAddresses() {
    limits.recordReset(0, RESETTING, 400);
    limits.recordReset(0, new HostAndPort("10.0.0.3", 80), 12);
    limits.recordReset(0, new HostAndPort("10.0.0.4", 80), 40);

    assertThat(
        limits.maxIdleMillis(PlacementFixtures.NANOS_PER_SECOND, OTHER, false), is(Long.MAX_VALUE));
    assertThat(
        limits.maxIdleMillis(PlacementFixtures.NANOS_PER_SECOND, RESETTING, false), is(100L));
  }

  @Test
  void limitExpiresWithoutFurtherResets() {
    limits.recordReset(0, RESETTING, 400);

    assertThat(
        limits.maxIdleMillis(16 * PlacementFixtures.NANOS_PER_SECOND, RESETTING, true),
        is(Long.MAX_VALUE));
    assertThat(
        limits.maxIdleMillis(16 * PlacementFixtures.NANOS_PER_SECOND, OTHER, false),
        is(Long.MAX_VALUE));
  }
}
