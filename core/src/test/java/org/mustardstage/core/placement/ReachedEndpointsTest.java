package org.mustardstage.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;

/** Guards against a VM that goes on using endpoints of which it reaches only a few. */
class ReachedEndpointsTest {
  private static final int ENDPOINTS = 20;

  private final ReachedEndpoints reached = new ReachedEndpoints();
  private final List<EndpointId> ids = new ArrayList<>();
  private long nowNanos = TimeUnit.SECONDS.toNanos(100);

  @BeforeEach
  void addEndpoints() {
    List<RegisteredEndpoint> endpoints = new ArrayList<>();
    for (int i = 0; i < ENDPOINTS; i++) {
      ids.add(new EndpointId("i-" + i));
      endpoints.add(endpoint(ids.get(i)));
    }
    reached.setEndpoints(endpoints);
  }

  private static RegisteredEndpoint endpoint(EndpointId id) {
    return new RegisteredEndpoint(
        id,
        new ServiceName("orders"),
        new HostAndPort("10.0.0.1", 80),
        new ZoneId("zone"),
        9,
        /* draining= */ false,
        0,
        1);
  }

  private void advanceMillis(long millis) {
    nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private void failFirst(int count) {
    ids.subList(0, count).forEach(id -> reached.recordUnreached(nowNanos, endpoint(id)));
    advanceMillis(10);
  }

  private List<EndpointId> probe() {
    advanceMillis(100);
    return reached.takeProbes(nowNanos).stream().map(RegisteredEndpoint::id).toList();
  }

  private void probeWithoutAnswer() {
    for (int i = 0; i < 10; i++) {
      probe();
    }
    assertThat(reached.reachesFew(), is(true));
  }

  /** Some endpoints end at once, and little was heard of the others. */
  @Test
  void endpointsStayInUseWhenMostOfASampleAnswer() {
    failFirst(4);
    int probes = 0;
    for (int i = 0; i < 50; i++) {
      for (EndpointId id : probe()) {
        probes++;
        reached.recordAnswered(nowNanos, endpoint(id));
      }
      assertThat(reached.excluded(), is(empty()));
    }

    assertThat(probes, is(4));
  }

  @Test
  void vmThatReachesFewEndpointsUsesOnlyThose() {
    failFirst(6);
    reached.recordAnswered(nowNanos, endpoint(ids.get(6)));
    reached.recordAnswered(nowNanos, endpoint(ids.get(7)));
    assertThat(reached.excluded(), is(empty()));
    probeWithoutAnswer();

    assertThat(reached.reachesFew(), is(true));
    Set<EndpointId> others = new HashSet<>(ids);
    others.removeAll(ids.subList(6, 8));
    assertThat(reached.excluded(), is(ImmutableSet.copyOf(others)));
  }

  /** A rack of endpoints ends, and the others go on. */
  @Test
  void fewEndpointsThatAreNotReachedExcludeNoOther() {
    ids.subList(4, 10).forEach(id -> reached.recordAnswered(nowNanos + 1, endpoint(id)));
    failFirst(4);

    assertThat(reached.reachesFew(), is(false));
    assertThat(reached.excluded(), is(empty()));
    assertThat(probe(), is(empty()));
  }

  @Test
  void endpointsOfWhichNothingIsKnownAreProbedFirst() {
    failFirst(6);
    Set<EndpointId> probed = new HashSet<>();
    for (int i = 0; i < 4; i++) {
      probed.addAll(probe());
    }
    Set<EndpointId> known = new HashSet<>(probed);
    known.retainAll(ids.subList(0, 6));

    assertThat(probed.size(), is(8));
    assertThat(known, is(empty()));
  }

  @Test
  void endpointsAreUsedAgainWhenMostAnswer() {
    failFirst(6);
    probeWithoutAnswer();
    for (int i = 0; i < 100 && reached.reachesFew(); i++) {
      probe().forEach(id -> reached.recordAnswered(nowNanos, endpoint(id)));
    }

    assertThat(reached.excluded(), is(empty()));
  }

  @Test
  void endpointThatLosesARequestIsProbedAndNotAllTheTime() {
    reached.recordSuspect(nowNanos, endpoint(ids.get(3)));
    reached.recordSuspect(nowNanos, endpoint(ids.get(3)));
    assertThat(probe(), contains(ids.get(3)));

    int probes = 0;
    for (int i = 0; i < 200; i++) {
      reached.recordSuspect(nowNanos, endpoint(ids.get(i % ENDPOINTS)));
      probes += probe().size();
    }
    assertThat(probes, is(lessThanOrEqualTo(18)));
  }

  @Test
  void endpointThatIsGoneIsForgotten() {
    failFirst(6);
    probeWithoutAnswer();
    reached.setEndpoints(List.of());

    assertThat(reached.reachesFew(), is(false));
    assertThat(reached.mustProbe(), is(false));
  }

  @Test
  void endpointsThatFailedLongAgoDoNotCount() {
    for (EndpointId id : ids.subList(0, 6)) {
      reached.recordUnreached(nowNanos, endpoint(id));
      advanceMillis(4_000);
    }

    assertThat(reached.reachesFew(), is(false));
  }
}
