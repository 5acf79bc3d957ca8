package org.mustardstage.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.placement.LoadSimulation.EndpointSpec;
import org.mustardstage.core.placement.LoadSimulation.RequestType;
import org.mustardstage.core.placement.LoadSimulation.ZoneLoad;
import org.mustardstage.core.placement.LoadTally.Summary;

/**
 * Simulates many VMs whose schedulers share few endpoints. Guards against long queues, evicted
 * affinity keys and requests that swing between regions, which arise because no scheduler sees the
 * requests of the others.
 */
class PlacementSimulationTest {
  private static final List<RequestType> CATALOGUE =
      List.of(
          LoadSimulation.requestType("swatch", 2, 500, 3_000, 600, 0.73, 52),
          LoadSimulation.requestType("archive", 2, 800, 5_000, 960, 0.27, 24));
  private static final List<RequestType> ORDERS =
      List.of(
          LoadSimulation.requestType("booking", 1, 300, 1_500, 312, 0.33, 43),
          LoadSimulation.requestType("lookup", 2, 300, 1_200, 240, 0.67, 87));

  private static final EndpointSpec CATALOGUE_ENDPOINT = new EndpointSpec(9, 27, 53);
  private static final EndpointSpec ORDER_ENDPOINT = new EndpointSpec(9, 27, 136);

  /** Three regions, one with few endpoints; their demand oscillates out of phase. */
  private static List<ZoneLoad> zoneLoads(
      double requestsPerSecond, int fewEndpoints, int manyEndpoints) {
    return List.of(
        new ZoneLoad("r1", "r1-a", 4, manyEndpoints, requestsPerSecond, 0.2),
        new ZoneLoad("r1", "r1-b", 4, manyEndpoints, requestsPerSecond, 0.2),
        new ZoneLoad("r2", "r2-a", 4, fewEndpoints, requestsPerSecond, 0.53),
        new ZoneLoad("r2", "r2-b", 2, fewEndpoints, requestsPerSecond, 0.53),
        new ZoneLoad("r3", "r3-a", 4, manyEndpoints, requestsPerSecond, 0.87),
        new ZoneLoad("r3", "r3-b", 2, manyEndpoints, requestsPerSecond, 0.87));
  }

  /** The users' normal demand, which oscillates by about half, out of phase between regions. */
  @Test
  void normalDemandMeetsObjectiveFromWarmEndpoints() {
    Summary orders = new LoadSimulation(zoneLoads(87, 1, 3), ORDERS, ORDER_ENDPOINT, 0.55).run(32);
    Summary catalogue =
        new LoadSimulation(zoneLoads(47.6, 1, 4), CATALOGUE, CATALOGUE_ENDPOINT, 0.55).run(32);

    assertThat(orders.weightedSuccessShare(), greaterThan(0.9));
    assertThat(catalogue.weightedSuccessShare(), greaterThan(0.9));
    assertThat(orders.warmShare(), greaterThan(0.9));
    assertThat(catalogue.warmShare(), greaterThan(0.9));
  }

  /** The demand exceeds the capacity of cold endpoints but not that of warm ones. */
  @Test
  void demandWithinCapacityOfWarmEndpointsOnlyIsServed() {
    Summary orders =
        new LoadSimulation(zoneLoads(87 * 1.37, 1, 3), ORDERS, ORDER_ENDPOINT, 0.55).run(32);
    Summary catalogue =
        new LoadSimulation(zoneLoads(47.6 * 1.37, 1, 4), CATALOGUE, CATALOGUE_ENDPOINT, 0.55)
            .run(32);

    assertThat(orders.weightedSuccessShare(), greaterThan(0.88));
    assertThat(catalogue.weightedSuccessShare(), greaterThan(0.88));
    assertThat(orders.servedShare(), greaterThan(0.97));
    assertThat(catalogue.servedShare(), greaterThan(0.97));
  }

  /** Few long requests: a load report is outdated by the time the next request arrives. */
  @Test
  void longRequestsDoNotEvictEachOthersKeys() {
    List<RequestType> requestTypes =
        List.of(
            LoadSimulation.requestType("usage", 2, 1_184, 8_000, 1_600, 0.73, 24),
            LoadSimulation.requestType("tariff", 2, 1_484, 12_000, 2_560, 0.27, 24));
    List<ZoneLoad> zoneLoads =
        List.of(
            new ZoneLoad("z", "z-a", 7, 1, 12, 0.3),
            new ZoneLoad("z", "z-b", 4, 1, 12, 0.3),
            new ZoneLoad("g", "g-a", 4, 4, 12, 0.63),
            new ZoneLoad("g", "g-b", 2, 4, 12, 0.63),
            new ZoneLoad("l", "l-a", 4, 4, 12, 0.97),
            new ZoneLoad("l", "l-b", 2, 4, 12, 0.97));
    Summary result =
        new LoadSimulation(zoneLoads, requestTypes, new EndpointSpec(4, 12, 33), 0.55).run(32);

    assertThat(result.weightedSuccessShare(), greaterThan(0.6));
    assertThat(result.warmShare(), greaterThan(0.8));
  }

  /** Demand starts at its full rate while all endpoints are cold. */
  @Test
  void regionShiftStaysWithinLimitAfterColdStart() {
    Summary orders = new LoadSimulation(zoneLoads(87, 1, 3), ORDERS, ORDER_ENDPOINT, 0.55).run(32);
    Summary catalogue =
        new LoadSimulation(zoneLoads(47.6, 1, 4), CATALOGUE, CATALOGUE_ENDPOINT, 0.55).run(32);

    assertThat(orders.maxRegionShift(), lessThan(0.15));
    assertThat(catalogue.maxRegionShift(), lessThan(0.15));
  }

  @Test
  void endpointQueuesStayShortWhenDemandOscillates() {
    Summary result =
        new LoadSimulation(zoneLoads(47.6, 1, 4), CATALOGUE, CATALOGUE_ENDPOINT, 0.55).run(32);

    assertThat(result.meanQueueMillis(), lessThan(25.0));
  }
}
