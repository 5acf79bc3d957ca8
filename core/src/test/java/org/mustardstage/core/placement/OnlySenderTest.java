package org.mustardstage.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.mustardstage.core.placement.PlacementFixtures.NANOS_PER_MILLI;
import static org.mustardstage.core.placement.PlacementFixtures.NANOS_PER_SECOND;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.gateway.RoutingRule;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.member.Member;
import org.mustardstage.core.member.MemberStatus;
import org.mustardstage.core.member.MemberView;
import org.mustardstage.core.member.PeerRelease;

/**
 * Guards against an endpoint with a limit that gets nothing, as no request of the only VM that may
 * send to it prefers the endpoint.
 */
class OnlySenderTest {
  private static final RoutingRule READ = PlacementFixtures.rule("read", 2, 500);
  private static final long RESPONSE_NANOS = 20 * NANOS_PER_MILLI;
  private static final long CALL_INTERVAL_NANOS = 50 * NANOS_PER_MILLI;

  private final RegisteredEndpoint limited =
      PlacementFixtures.endpoint("limited", PlacementFixtures.OWN_ZONE, 9);
  private final RegisteredEndpoint preferred =
      PlacementFixtures.endpoint("preferred", PlacementFixtures.OWN_ZONE, 9);
  private final EndpointLimits limits = PlacementFixtures.endpointLimits();
  private final ServiceScheduler scheduler =
      new ServiceScheduler(
          PlacementFixtures.spec(10),
          PlacementSettings.forSchedulerCount(1),
          PlacementFixtures.roundTrips(),
          PlacementFixtures.regionShiftLimiter(),
          limits);
  private long nowNanos = NANOS_PER_SECOND;
  private long nextId = 1;

  private void startAsOnlySender() {
    HostAndPort address = new HostAndPort("10.0.0.9", 80);
    Member self =
        new Member(
            new VmIncarnation(new VmId("vm-1"), 1),
            PlacementFixtures.OWN_ZONE,
            PlacementFixtures.OWN_REGION,
            address,
            address,
            address,
            /* leaving= */ false,
            420,
            /* cutOff= */ false,
            PeerRelease.CURRENT);
    limits.setMembers(
        nowNanos,
        new MemberView(
            self,
            List.of(new MemberStatus(self, MemberStatus.Liveness.ALIVE, false, ConfigVersion.NONE)),
            Set.of()));
    scheduler.setEndpoints(
        nowNanos,
        ImmutableList.of(PlacementFixtures.usable(limited), PlacementFixtures.usable(preferred)));
    nowNanos += 20 * NANOS_PER_SECOND;
  }

  /** Returns a key that runs at the endpoint without a limit. */
  private String keyElsewhere() {
    for (int i = 0; ; i++) {
      String key = "key-" + i;
      if (call(key).equals(preferred)) {
        return key;
      }
    }
  }

  private RegisteredEndpoint call(String key) {
    nowNanos += CALL_INTERVAL_NANOS;
    PlacementDecision.Placed placed =
        (PlacementDecision.Placed)
            scheduler
                .placeOrEnqueue(nowNanos, PlacementFixtures.request(nextId++, READ, key, nowNanos))
                .orElseThrow();
    scheduler.release(
        nowNanos + RESPONSE_NANOS,
        placed,
        PlacementFixtures.result(AttemptResult.Status.ANSWERED, RESPONSE_NANOS));
    return placed.endpoint();
  }

  private int callsAtLimited(String key, int seconds) {
    int count = 0;
    for (long end = nowNanos + seconds * NANOS_PER_SECOND; nowNanos < end; ) {
      if (call(key).equals(limited)) {
        count++;
      }
    }
    return count;
  }

  @Test
  void endpointGetsAPartOfItsLimitAndItsEndIsNoticedSoon() {
    startAsOnlySender();
    String key = keyElsewhere();
    limits.applyReport(
        nowNanos, new EndpointLimit(EndpointIncarnation.of(limited), Optional.of(2.0)));

    int seconds = 14;
    int during = callsAtLimited(key, seconds);
    assertThat(during, is(greaterThanOrEqualTo(seconds / 2)));
    assertThat(during, is(lessThanOrEqualTo(2 * seconds)));

    for (long end = nowNanos + 4 * NANOS_PER_SECOND; !limits.inForce().isEmpty(); ) {
      long sentNanos = nowNanos + CALL_INTERVAL_NANOS;
      if (call(key).equals(limited)) {
        limits.recordResponse(nowNanos, sentNanos, limited, new LimitNotice.Unlimited());
      }
      assertThat("the limit ended unnoticed", nowNanos <= end, is(true));
    }
  }

  /** Requests stay where their objects are warm once the limit has ended. */
  @Test
  void endpointWithoutALimitGetsNoRequestThatPrefersAnother() {
    startAsOnlySender();
    String key = keyElsewhere();

    assertThat(callsAtLimited(key, 14), is(0));
  }
}
