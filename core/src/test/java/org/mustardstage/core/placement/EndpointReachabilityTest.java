package org.mustardstage.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.placement.EndpointReachability.State;

/** Guards against a VM that takes the loss of its own links for a failure of the endpoints. */
class EndpointReachabilityTest {
  private static final int ZONES = 4;
  private static final int ENDPOINTS_PER_ZONE = 5;

  private final EndpointReachability reachability =
      new EndpointReachability(new SplittableRandom(1));
  private final List<RegisteredEndpoint> endpoints = new ArrayList<>();
  private long nowNanos;

  @BeforeEach
  void addEndpoints() {
    for (int zone = 0; zone < ZONES; zone++) {
      for (int i = 0; i < ENDPOINTS_PER_ZONE; i++) {
        endpoints.add(endpoint("i-" + zone + "-" + i, "zone-" + zone));
      }
    }
    reachability.setEndpoints(endpoints);
  }

  private static RegisteredEndpoint endpoint(String id, String zone) {
    return new RegisteredEndpoint(
        new EndpointId(id),
        new ServiceName("orders"),
        new HostAndPort("10.0.0.1", 80),
        new ZoneId(zone),
        9,
        /* draining= */ false,
        0,
        1);
  }

  private void fail(RegisteredEndpoint endpoint) {
    reachability.recordFailed(nowNanos, endpoint);
  }

  private void advanceMillis(long millis) {
    nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /** Probes as the VM does, until its state is certain; returns how many probes that took. */
  private int probeUntilCertain(Set<String> reachableZones) {
    int probes = 0;
    for (int i = 0; i < 100 && reachability.state() == State.SUSPECTED; i++) {
      advanceMillis(100);
      for (RegisteredEndpoint probed : reachability.takeProbes(nowNanos)) {
        probes++;
        if (reachableZones.contains(probed.zone().value())) {
          reachability.recordAnswered(nowNanos);
        } else {
          fail(probed);
        }
      }
    }
    return probes;
  }

  @Test
  void oneEndpointThatIsNotReachedIsNotSuspicious() {
    for (int i = 0; i < 10; i++) {
      fail(endpoints.getFirst());
      advanceMillis(100);
    }

    assertThat(reachability.state(), is(State.REACHABLE));
    assertThat(reachability.takeProbes(nowNanos), is(empty()));
  }

  @Test
  void vmThatReachesNoZoneIsCutOffWithinASecond() {
    fail(endpoints.get(0));
    fail(endpoints.get(1));
    probeUntilCertain(Set.of());

    assertThat(reachability.state(), is(State.CUT_OFF));
    assertThat(nowNanos <= TimeUnit.SECONDS.toNanos(1), is(true));
  }

  @Test
  void silenceAloneIsConfirmedByProbes() {
    reachability.recordSuspicion(nowNanos);
    assertThat(reachability.state(), is(State.SUSPECTED));
    probeUntilCertain(Set.of());

    assertThat(reachability.isCutOff(), is(true));
  }

  @Test
  void vmThatReachesOneZoneIsNotCutOff() {
    for (RegisteredEndpoint each : endpoints.subList(0, 2 * ENDPOINTS_PER_ZONE)) {
      fail(each);
    }
    assertThat(reachability.state(), is(State.SUSPECTED));
    int probes = probeUntilCertain(Set.of("zone-3"));

    assertThat(reachability.state(), is(State.REACHABLE));
    assertThat(probes <= ZONES, is(true));
  }

  @Test
  void oldFailuresDoNotCount() {
    for (RegisteredEndpoint each : endpoints) {
      fail(each);
      advanceMillis(3_500);
    }

    assertThat(reachability.state(), is(State.REACHABLE));
  }

  @Test
  void oneConnectionThatWorksEndsTheCut() {
    endpoints.forEach(this::fail);
    assertThat(reachability.isCutOff(), is(true));
    advanceMillis(5_000);
    assertThat(reachability.isCutOff(), is(true));
    reachability.recordAnswered(nowNanos);

    assertThat(reachability.state(), is(State.REACHABLE));
    assertThat(reachability.failedEndpoints(), is(0));
  }

  /** Connections that were begun during the cut may time out after it. */
  @Test
  void failureThatBeganBeforeAConnectionThatWorksSaysNothing() {
    endpoints.forEach(this::fail);
    long duringCutNanos = nowNanos;
    advanceMillis(300);
    reachability.recordAnswered(nowNanos);
    endpoints.forEach(each -> reachability.recordFailed(duringCutNanos, each));

    assertThat(reachability.state(), is(State.REACHABLE));
  }

  /** Connections from before the cut may live on and bring responses. */
  @Test
  void connectionThatWasBegunBeforeTheCutDoesNotEndIt() {
    long beforeCutNanos = nowNanos;
    advanceMillis(300);
    endpoints.forEach(this::fail);
    reachability.recordAnswered(beforeCutNanos);

    assertThat(reachability.isCutOff(), is(true));
    assertThat(reachability.hasAnsweredSince(nowNanos), is(false));
  }

  @Test
  void probesOfAVmThatIsCutOffGoToAllZonesAndStayFew() {
    endpoints.forEach(this::fail);
    List<RegisteredEndpoint> probes = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      advanceMillis(10);
      probes.addAll(reachability.takeProbes(nowNanos));
    }

    assertThat(probes, hasSize(5));
    Set<ZoneId> zones = new HashSet<>();
    probes.forEach(probe -> zones.add(probe.zone()));
    assertThat(zones, hasSize(ZONES));
  }

  @Test
  void suspicionThatStaysIsCheckedLessOften() {
    reachability.recordSuspicion(nowNanos);
    int probes = 0;
    for (int i = 0; i < 1_000; i++) {
      advanceMillis(10);
      probes += reachability.takeProbes(nowNanos).size();
    }

    assertThat(probes, is(lessThanOrEqualTo(55)));
  }

  /** VMs that are cut off together find out together that the cut has ended. */
  @Test
  void vmsProbeDifferentEndpointsFirst() {
    Set<EndpointId> first = new HashSet<>();
    for (int i = 0; i < 100; i++) {
      EndpointReachability each = new EndpointReachability(new SplittableRandom(i));
      each.setEndpoints(endpoints);
      each.recordSuspicion(nowNanos);
      each.takeProbes(nowNanos).forEach(probe -> first.add(probe.id()));
    }

    assertThat(first.size(), is(greaterThan(endpoints.size() / 2)));
  }

  /** Otherwise requests are lost each time that the links break again. */
  @Test
  void cutThatComesAndGoesEndsWhenEndpointsHaveAnsweredForSomeTime() {
    endpoints.forEach(this::fail);
    advanceMillis(1_000);
    reachability.recordAnswered(nowNanos);
    assertThat(reachability.state(), is(State.REACHABLE));
    advanceMillis(1_000);
    endpoints.forEach(this::fail);
    for (int i = 0; i < 3; i++) {
      advanceMillis(1_000);
      reachability.recordAnswered(nowNanos);
      advanceMillis(1_000);
      assertThat(reachability.isCutOff(), is(true));
      fail(endpoints.getFirst());
    }
    for (int i = 0; i < 6; i++) {
      assertThat(reachability.isCutOff(), is(true));
      advanceMillis(400);
      reachability.recordAnswered(nowNanos);
    }

    assertThat(reachability.state(), is(State.REACHABLE));
  }

  @Test
  void vmWithoutEndpointsIsNotCutOff() {
    endpoints.forEach(this::fail);
    reachability.setEndpoints(List.of());
    reachability.recordSuspicion(nowNanos);

    assertThat(reachability.isCutOff(), is(false));
    assertThat(reachability.takeProbes(nowNanos), is(empty()));
  }

  @Test
  void fewEndpointsSufficeWhereThereAreNoMore() {
    List<RegisteredEndpoint> two = endpoints.subList(0, 2);
    reachability.setEndpoints(two);
    two.forEach(this::fail);

    assertThat(reachability.isCutOff(), is(true));
    assertThat(reachability.takeProbes(nowNanos), is(not(empty())));
  }
}
