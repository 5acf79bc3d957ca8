package org.mustardstage.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.mustardstage.core.placement.PlacementFixtures.NANOS_PER_MILLI;
import static org.mustardstage.core.placement.PlacementFixtures.NANOS_PER_SECOND;
import static org.mustardstage.core.placement.PlacementFixtures.REMOTE_REGION;

import java.util.Optional;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.id.RegionId;

/**
 * Guards against a large share of requests that moves to another region, or back, from one window
 * to the next, and against a limiter that holds requests back when endpoints are lost.
 */
class RegionShiftLimiterTest {
  private static final RegionId OTHER_REMOTE_REGION = new RegionId("west");

  private final RegionShiftLimiter limiter = PlacementFixtures.regionShiftLimiter();
  private long nowNanos = NANOS_PER_SECOND;

  /**
   * Places 100 requests in two seconds: in {@code preferred} if the limiter allows it, otherwise in
   * the region that it requires, or in the own one. Returns the share of the other regions.
   */
  private double placeRequests(Optional<RegionId> preferred) {
    int remote = 0;
    for (int i = 0; i < 100; i++) {
      nowNanos += 20 * NANOS_PER_MILLI;
      Optional<RegionId> destination =
          preferred
              .filter(region -> limiter.allows(nowNanos, region))
              .or(() -> limiter.requiredRegion(nowNanos));
      limiter.recordPlacement(nowNanos, destination);
      remote += destination.isPresent() ? 1 : 0;
    }
    return remote / 100.0;
  }

  @Test
  void remoteShareRisesWithinLimit() {
    double previousShare = 0;
    for (int i = 0; i < 6; i++) {
      double share = placeRequests(Optional.of(REMOTE_REGION));
      assertThat(share - previousShare, lessThan(0.15));
      previousShare = share;
    }

    assertThat(previousShare, greaterThan(0.5));
  }

  /** See KNOWN-RED.txt. */
  @Tag("known-red")
  @Test
  void remoteShareFallsWithinLimitWhenDemandStops() {
    double previousShare = 0;
    for (int i = 0; i < 6; i++) {
      previousShare = placeRequests(Optional.of(REMOTE_REGION));
    }

    for (int i = 0; i < 10; i++) {
      double share = placeRequests(Optional.empty());
      assertThat(previousShare - share, lessThan(0.15));
      previousShare = share;
    }
    assertThat(previousShare, lessThan(0.05));
  }

  @Test
  void remoteShareShiftsBetweenRegionsWithinLimit() {
    for (int i = 0; i < 6; i++) {
      placeRequests(Optional.of(REMOTE_REGION));
    }
    double remote = 0;
    for (int i = 0; i < 100; i++) {
      nowNanos += 20 * NANOS_PER_MILLI;
      Optional<RegionId> destination =
          Optional.of(OTHER_REMOTE_REGION).filter(region -> limiter.allows(nowNanos, region));
      limiter.recordPlacement(nowNanos, destination);
      remote += destination.isPresent() ? 1 : 0;
    }

    assertThat(remote / 100, lessThan(0.15));
  }

  @Test
  void limitIsSuspendedWhenEndpointsAreLost() {
    placeRequests(Optional.empty());

    limiter.allowFailover(nowNanos);

    assertThat(placeRequests(Optional.of(REMOTE_REGION)), is(1.0));
    assertThat(placeRequests(Optional.of(REMOTE_REGION)), greaterThan(0.9));
  }

  @Test
  void oneRemoteRequestIsAllowedBeforeFirstSample() {
    assertThat(limiter.allows(nowNanos, REMOTE_REGION), is(true));

    limiter.recordPlacement(nowNanos, Optional.of(REMOTE_REGION));

    assertThat(limiter.allows(nowNanos, REMOTE_REGION), is(false));
    assertThat(limiter.requiredRegion(nowNanos), is(Optional.empty()));
  }

  @Test
  void idleTimeDoesNotAccumulateAllowance() {
    nowNanos += 60 * NANOS_PER_SECOND;

    assertThat(placeRequests(Optional.of(REMOTE_REGION)), lessThan(0.3));
    assertThat(limiter.requiredRegion(nowNanos), is(Optional.empty()));
  }
}
