package org.mustardstage.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.placement.LoadSimulation.Disturbance;
import org.mustardstage.core.placement.LoadSimulation.EndpointSpec;
import org.mustardstage.core.placement.LoadSimulation.RequestType;
import org.mustardstage.core.placement.LoadSimulation.ZoneLoad;
import org.mustardstage.core.placement.LoadTally.Summary;

/**
 * Simulates services whose cold requests take longer than the latency objective, and whose demand
 * is spread otherwise than their endpoints. Guards against requests that many VMs send to the same
 * endpoints although these have no slot left, and that wait there or are rejected.
 */
class UnevenLoadTest {
  private static final List<RequestType> LISTS =
      List.of(
          LoadSimulation.requestType("confirmation", 1, 679, 4_328, 729, 0.15, 20),
          LoadSimulation.requestType("list", 2, 547, 4_374, 875, 0.85, 110));
  private static final List<RequestType> RIDES =
      List.of(
          LoadSimulation.requestType("booking", 1, 623, 4_062, 713, 0.3, 40),
          LoadSimulation.requestType("position", 2, 518, 3_049, 543, 0.7, 90));

  private static List<ZoneLoad> zones(double rate, int few, int many) {
    return List.of(
        new ZoneLoad("r1", "r1-a", 10, many, rate, 0.2),
        new ZoneLoad("r1", "r1-b", 10, many, rate, 0.2),
        new ZoneLoad("r2", "r2-a", 10, few, rate, 0.53),
        new ZoneLoad("r2", "r2-b", 10, few, rate, 0.53),
        new ZoneLoad("r3", "r3-a", 10, many, rate, 0.87),
        new ZoneLoad("r3", "r3-b", 10, many, rate, 0.87));
  }

  private static LoadSimulation lists(Disturbance disturbance) {
    return new LoadSimulation(zones(112, 4, 16), LISTS, new EndpointSpec(6, 18, 60), 0.55)
        .with(disturbance);
  }

  private static LoadSimulation rides(Disturbance disturbance) {
    return new LoadSimulation(zones(74.5, 4, 19), RIDES, new EndpointSpec(3, 9, 40), 0.55)
        .with(disturbance);
  }

  /** One region has a third of the callers and a tenth of the endpoints. */
  @Tag("known-red")
  @Test
  void regionWithFewEndpointsIsServedInTimeWithoutQueuesAtThem() {
    for (LoadSimulation simulation : List.of(lists(Disturbance.NONE), rides(Disturbance.NONE))) {
      Summary result = simulation.run(32);

      assertThat(result.toString(), result.worstRegion(), greaterThan(0.65));
      assertThat(result.toString(), result.meanQueueMillis(), lessThan(55.0));
      assertThat(result.toString(), result.refusedShare(), lessThan(0.005));
    }
  }

  /** A tenant that sends 7.5 times its usual, in a burst of all, must not push out the others. */
  @Tag("known-red")
  @Test
  void hotTenantTakesLittleFromOthers() {
    Summary burst = lists(new Disturbance(1.5, 73, 1, 0, 0, 1)).run(48);
    Summary hot = lists(new Disturbance(1.5, 73, 7.5, 0, 0, 1)).run(48);

    assertThat(hot.toString(), hot.otherTenants(), greaterThan(burst.otherTenants() - 0.08));
  }
}
