package org.mustardstage.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.placement.ReplayWorld.EndpointKind;
import org.mustardstage.core.placement.ReplayWorld.Kind;
import org.mustardstage.core.placement.ReplayWorld.Place;
import org.mustardstage.core.placement.ReplayWorld.Result;

/** Replays load patterns against the schedulers of many VMs that share few endpoints. */
class PlacementReplayTest {
  private static final List<Kind> CATALOGUE =
      List.of(
          ReplayWorld.kind("swatch", 2, 500, 3_000, 600, 0.73, 52),
          ReplayWorld.kind("archive", 2, 800, 5_000, 960, 0.27, 24));
  private static final List<Kind> ORDERS =
      List.of(
          ReplayWorld.kind("booking", 1, 300, 1_500, 312, 0.33, 43),
          ReplayWorld.kind("lookup", 2, 300, 1_200, 240, 0.67, 87));

  private static final EndpointKind CATALOGUE_ENDPOINT = new EndpointKind(9, 27, 53);
  private static final EndpointKind ORDER_ENDPOINT = new EndpointKind(9, 27, 136);

  /** Regions of which one has few endpoints; the demand swings out of phase. */
  private static List<Place> places(double perSecond, int few, int many) {
    return List.of(
        new Place("r1", "r1-a", 4, many, perSecond, 0.2),
        new Place("r1", "r1-b", 4, many, perSecond, 0.2),
        new Place("r2", "r2-a", 4, few, perSecond, 0.53),
        new Place("r2", "r2-b", 2, few, perSecond, 0.53),
        new Place("r3", "r3-a", 4, many, perSecond, 0.87),
        new Place("r3", "r3-b", 2, many, perSecond, 0.87));
  }

  /** The users' usual demand, swinging by half and out of phase between the regions. */
  @Test
  void usualDemandIsAnsweredInTimeFromWarmEndpoints() {
    Result orders = new ReplayWorld(places(87, 1, 3), ORDERS, ORDER_ENDPOINT, 0.55).play(32);
    Result catalogue =
        new ReplayWorld(places(47.6, 1, 4), CATALOGUE, CATALOGUE_ENDPOINT, 0.55).play(32);

    assertThat(orders.credit(), greaterThan(0.9));
    assertThat(catalogue.credit(), greaterThan(0.9));
    assertThat(orders.warm(), greaterThan(0.9));
    assertThat(catalogue.warm(), greaterThan(0.9));
  }

  /** Demand above the slots of cold endpoints, and below those of warm ones. */
  @Test
  void demandThatOnlyWarmEndpointsCanCarryIsCarried() {
    Result orders = new ReplayWorld(places(87 * 1.37, 1, 3), ORDERS, ORDER_ENDPOINT, 0.55).play(32);
    Result catalogue =
        new ReplayWorld(places(47.6 * 1.37, 1, 4), CATALOGUE, CATALOGUE_ENDPOINT, 0.55).play(32);

    assertThat(orders.credit(), greaterThan(0.88));
    assertThat(catalogue.credit(), greaterThan(0.88));
    assertThat(orders.served(), greaterThan(0.97));
    assertThat(catalogue.served(), greaterThan(0.97));
  }

  /** Few requests that run for long: what an endpoint reports is old when the next one comes. */
  @Test
  void longRequestsDoNotPushEachOthersObjectsOut() {
    List<Kind> reports =
        List.of(
            ReplayWorld.kind("usage", 2, 1_184, 8_000, 1_600, 0.73, 24),
            ReplayWorld.kind("tariff", 2, 1_484, 12_000, 2_560, 0.27, 24));
    List<Place> places =
        List.of(
            new Place("z", "z-a", 7, 1, 12, 0.3),
            new Place("z", "z-b", 4, 1, 12, 0.3),
            new Place("g", "g-a", 4, 4, 12, 0.63),
            new Place("g", "g-b", 2, 4, 12, 0.63),
            new Place("l", "l-a", 4, 4, 12, 0.97),
            new Place("l", "l-b", 2, 4, 12, 0.97));
    Result result = new ReplayWorld(places, reports, new EndpointKind(4, 12, 33), 0.55).play(32);

    assertThat(result.credit(), greaterThan(0.6));
    assertThat(result.warm(), greaterThan(0.8));
  }

  /** Demand begins at full strength with all endpoints cold. */
  @Test
  void fewRequestsChangeTheirRegionWithinSeconds() {
    Result orders = new ReplayWorld(places(87, 1, 3), ORDERS, ORDER_ENDPOINT, 0.55).play(32);
    Result catalogue =
        new ReplayWorld(places(47.6, 1, 4), CATALOGUE, CATALOGUE_ENDPOINT, 0.55).play(32);

    assertThat(orders.mostMoved(), lessThan(0.15));
    assertThat(catalogue.mostMoved(), lessThan(0.15));
  }

  @Test
  void endpointsQueueLittleWhenDemandSwings() {
    Result result =
        new ReplayWorld(places(47.6, 1, 4), CATALOGUE, CATALOGUE_ENDPOINT, 0.55).play(32);

    assertThat(result.meanQueueMillis(), lessThan(25.0));
  }
}
