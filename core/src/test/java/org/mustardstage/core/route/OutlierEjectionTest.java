package org.mustardstage.core.route;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.id.EndpointId;

/**
 * Guards against endpoints that fail or slow down and still get their full share of requests, and
 * against ejecting so many endpoints at the same time that the others become overloaded.
 */
class OutlierEjectionTest {
  private static final double MEDIAN_NANOS = 10e6;
  private static final long NANOS_PER_SECOND = 1_000_000_000;
  private static final EndpointId SLOW = id(0);

  private final OutlierEjection ejection = new OutlierEjection(EjectionSettings.DEFAULT);

  OutlierEjectionTest() {
    ejection.updateEndpoints(ids(8));
  }

  @Test
  void ejectsAnEndpointMuchSlowerThanTheMedian() {
    assertThat(ejection.evaluate(0, SLOW, healthWithServiceTime(40e6), MEDIAN_NANOS), is(true));
    assertThat(ejection.mayReceive(SLOW, true), is(false));
  }

  @Test
  void keepsAnEndpointSlightlySlowerThanTheMedian() {
    assertThat(ejection.evaluate(0, SLOW, healthWithServiceTime(20e6), MEDIAN_NANOS), is(false));
    assertThat(ejection.mayReceive(SLOW, false), is(true));
  }

  @Test
  void ejectsAnEndpointThatFails() {
    EndpointHealth health = healthWithServiceTime(10e6);
    for (int i = 0; i < 30; i++) {
      health.recordFailure(0, 1);
    }
    assertThat(ejection.evaluate(0, SLOW, health, MEDIAN_NANOS), is(true));
  }

  @Test
  void doesNotEjectOnTooFewSamples() {
    EndpointHealth health = new EndpointHealth();
    health.recordResponse(0, 400_000_000);
    assertThat(ejection.evaluate(0, SLOW, health, MEDIAN_NANOS), is(false));
  }

  @Test
  void sendsOneProbeAtATimeAndOnlyRequestsThatMayProbe() {
    startProbing();
    assertThat(ejection.mayReceive(SLOW, false), is(false));
    assertThat(ejection.mayReceive(SLOW, true), is(true));
    ejection.recordSent(SLOW);
    assertThat(ejection.mayReceive(SLOW, true), is(false));
  }

  @Test
  void restoresAnEndpointAfterEnoughSuccessfulProbes() {
    startProbing();
    assertThat(probe(false, MEDIAN_NANOS), is(false));
    assertThat(probe(false, MEDIAN_NANOS), is(false));
    assertThat(probe(false, MEDIAN_NANOS), is(true));
    assertThat(ejection.stateOf(SLOW), instanceOf(EjectionState.Active.class));
    assertThat(ejection.ejectedOrProbingCount(), is(0));
  }

  @Test
  void failedProbeEjectsForLonger() {
    startProbing();
    probe(false, 4 * MEDIAN_NANOS);
    assertThat(
        ejection.stateOf(SLOW),
        is(new EjectionState.Ejected(5 * NANOS_PER_SECOND + 10 * NANOS_PER_SECOND, 2)));
  }

  @Test
  void allowsAnotherProbeAfterOneThatWasNeverSent() {
    startProbing();
    ejection.recordSent(SLOW);
    ejection.recordNeverSent(SLOW);
    assertThat(ejection.mayReceive(SLOW, true), is(true));
  }

  @Test
  void ejectsNothingWhenTheShareAllowsNoEndpoint() {
    ejection.updateEndpoints(ids(3));
    assertThat(ejection.evaluate(0, SLOW, healthWithServiceTime(90e6), MEDIAN_NANOS), is(false));
  }

  @Property(tries = 200, seed = "4202")
  void neverEjectsMoreThanTheMaximumShare(
      @ForAll @Size(min = 1, max = 120) List<@IntRange(max = 999) Integer> steps) {
    int endpoints = 16;
    ejection.updateEndpoints(ids(endpoints));
    long nowNanos = 0;
    for (int step : steps) {
      nowNanos += step * 10_000_000L;
      EndpointId endpoint = id(step % 16);
      switch (step % 5) {
        case 0, 1, 2 ->
            ejection.evaluate(nowNanos, endpoint, healthWithServiceTime(90e6), MEDIAN_NANOS);
        case 3 ->
            ejection.recordResult(nowNanos, endpoint, step % 2 == 0, MEDIAN_NANOS, MEDIAN_NANOS);
        default -> {
          endpoints = 4 + step % 13;
          ejection.updateEndpoints(ids(endpoints));
        }
      }
      assertThat(ejection.ejectedOrProbingCount(), lessThanOrEqualTo(endpoints / 4));
    }
  }

  private void startProbing() {
    ejection.evaluate(0, SLOW, healthWithServiceTime(40e6), MEDIAN_NANOS);
    ejection.evaluate(5 * NANOS_PER_SECOND, SLOW, new EndpointHealth(), MEDIAN_NANOS);
    assertThat(ejection.stateOf(SLOW), instanceOf(EjectionState.Probing.class));
  }

  private boolean probe(boolean failed, double serviceNanos) {
    ejection.recordSent(SLOW);
    return ejection.recordResult(5 * NANOS_PER_SECOND, SLOW, failed, serviceNanos, MEDIAN_NANOS);
  }

  private static EndpointHealth healthWithServiceTime(double serviceNanos) {
    EndpointHealth health = new EndpointHealth();
    for (int i = 0; i < 10; i++) {
      health.recordResponse(0, (long) serviceNanos);
    }
    return health;
  }

  private static Set<EndpointId> ids(int count) {
    Set<EndpointId> ids = new HashSet<>();
    for (int i = 0; i < count; i++) {
      ids.add(id(i));
    }
    return ids;
  }

  private static EndpointId id(int number) {
    return new EndpointId("e" + number);
  }
}
