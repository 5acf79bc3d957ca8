package org.mustardstage.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.mustardstage.core.placement.PlacementFixtures.NANOS_PER_SECOND;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.id.EndpointId;

/**
 * Guards against the removal of healthy endpoints whose entries expire while the platform's
 * registry is unavailable, and against requests to endpoints that are gone, draining or evacuated.
 */
class EndpointRegistryTest {
  private static final RegisteredEndpoint FIRST_ENDPOINT =
      PlacementFixtures.endpoint("first", PlacementFixtures.OWN_ZONE, 9);
  private static final RegisteredEndpoint SECOND_ENDPOINT =
      PlacementFixtures.endpoint("other", PlacementFixtures.REMOTE_ZONE, 9);

  private final EndpointRegistry registry = new EndpointRegistry();
  private long nowNanos = 100 * NANOS_PER_SECOND;

  @Test
  void registeredEndpointIsUsable() {
    registry.updateEntry(nowNanos, FIRST_ENDPOINT);

    assertThat(registry.usableEndpoints(PlacementFixtures.SERVICE), hasSize(1));
  }

  @Test
  void heartbeatIsNotReportedAsChange() {
    assertThat(registry.updateEntry(nowNanos, FIRST_ENDPOINT), is(true));
    assertThat(registry.updateEntry(nowNanos, FIRST_ENDPOINT), is(false));
  }

  @Test
  void restartUnderSameIdIsReportedAsChange() {
    registry.updateEntry(nowNanos, FIRST_ENDPOINT);

    assertThat(
        registry.updateEntry(
            nowNanos, PlacementFixtures.endpoint("first", PlacementFixtures.OWN_ZONE, 9, 2)),
        is(true));
  }

  @Test
  void drainingEndpointIsNotUsable() {
    registry.updateEntry(nowNanos, FIRST_ENDPOINT);
    registry.updateEntry(
        nowNanos,
        new RegisteredEndpoint(
            FIRST_ENDPOINT.id(),
            FIRST_ENDPOINT.service(),
            FIRST_ENDPOINT.address(),
            FIRST_ENDPOINT.zone(),
            9,
            /* draining= */ true,
            0,
            1));

    assertThat(registry.usableEndpoints(PlacementFixtures.SERVICE), is(empty()));
  }

  @Test
  void missingEntryIsRemovedImmediatelyWhenRegistryIsStable() {
    registry.updateEntry(nowNanos, FIRST_ENDPOINT);

    assertThat(registry.removeEntry(nowNanos, FIRST_ENDPOINT.id()), is(true));
    assertThat(registry.usableEndpoints(PlacementFixtures.SERVICE), is(empty()));
  }

  @Test
  void missingEntriesAreKeptDuringRegistryRecovery() {
    registry.updateEntry(nowNanos, FIRST_ENDPOINT);
    registry.updateEntry(nowNanos, SECOND_ENDPOINT);
    registry.setRegistryAvailable(nowNanos, false);
    nowNanos += 4 * NANOS_PER_SECOND;
    registry.setRegistryAvailable(nowNanos, true);
    registry.removeEntry(nowNanos, FIRST_ENDPOINT.id());
    registry.removeEntry(nowNanos, SECOND_ENDPOINT.id());
    assertThat(registry.usableEndpoints(PlacementFixtures.SERVICE), hasSize(2));

    nowNanos += NANOS_PER_SECOND;
    registry.updateEntry(nowNanos, FIRST_ENDPOINT);
    nowNanos += 2 * NANOS_PER_SECOND;
    assertThat(registry.onTick(nowNanos), is(true));

    assertThat(registry.isUsable(FIRST_ENDPOINT.id()), is(true));
    assertThat(registry.isUsable(SECOND_ENDPOINT.id()), is(false));
  }

  @Test
  void evacuatedZoneIsNotUsableAndIsColdAfterwards() {
    registry.updateEntry(nowNanos, FIRST_ENDPOINT);
    assertThat(registry.setEvacuatedZones(nowNanos, Set.of(PlacementFixtures.OWN_ZONE)), is(true));
    assertThat(registry.usableEndpoints(PlacementFixtures.SERVICE), is(empty()));

    registry.setEvacuatedZones(nowNanos, Set.of());

    assertThat(registry.usableEndpoints(PlacementFixtures.SERVICE), hasSize(1));
    assertThat(
        registry.usableEndpoints(PlacementFixtures.SERVICE).get(0).coldUntilNanos(),
        greaterThan(nowNanos));
  }

  @Test
  void incarnationThatWasDrainingStaysSo() {
    registry.updateEntry(nowNanos, FIRST_ENDPOINT.asDraining());
    registry.updateEntry(nowNanos, FIRST_ENDPOINT);
    assertThat(registry.isUsable(FIRST_ENDPOINT.id()), is(false));

    registry.updateEntry(
        nowNanos, PlacementFixtures.endpoint("first", PlacementFixtures.OWN_ZONE, 9, 2));
    assertThat(registry.isUsable(FIRST_ENDPOINT.id()), is(true));
  }

  @Test
  void incarnationThatSaidThatItIsLeavingIsNotUsable() {
    registry.updateEntry(nowNanos, FIRST_ENDPOINT);

    assertThat(registry.markLeaving(nowNanos, EndpointIncarnation.of(FIRST_ENDPOINT)), is(true));
    assertThat(registry.markLeaving(nowNanos, EndpointIncarnation.of(FIRST_ENDPOINT)), is(false));
    registry.updateEntry(nowNanos, FIRST_ENDPOINT);
    assertThat(registry.isUsable(FIRST_ENDPOINT.id()), is(false));

    registry.updateEntry(
        nowNanos, PlacementFixtures.endpoint("first", PlacementFixtures.OWN_ZONE, 9, 2));
    assertThat(registry.isUsable(FIRST_ENDPOINT.id()), is(true));
  }

  /** The restored copy still has an endpoint that has left, and is too old for another one. */
  @Test
  void restoredRegistryNeitherRevivesNorRemovesEndpoints() {
    registry.updateEntry(nowNanos, FIRST_ENDPOINT);
    registry.updateEntry(nowNanos, SECOND_ENDPOINT);
    registry.removeEntry(nowNanos, FIRST_ENDPOINT.id());
    nowNanos += NANOS_PER_SECOND;

    registry.onRegistryRestored(nowNanos);
    registry.updateEntry(nowNanos, FIRST_ENDPOINT);
    registry.removeEntry(nowNanos, SECOND_ENDPOINT.id());
    assertThat(registry.isUsable(FIRST_ENDPOINT.id()), is(false));
    assertThat(registry.isUsable(SECOND_ENDPOINT.id()), is(true));

    nowNanos += NANOS_PER_SECOND;
    registry.updateEntry(nowNanos, SECOND_ENDPOINT);
    nowNanos += 3 * NANOS_PER_SECOND;
    registry.onTick(nowNanos);
    assertThat(registry.isUsable(FIRST_ENDPOINT.id()), is(false));
    assertThat(registry.isUsable(SECOND_ENDPOINT.id()), is(true));
  }

  @Test
  void entryThatARestoredRegistryKeepsIsBelievedInTheEnd() {
    registry.updateEntry(nowNanos, FIRST_ENDPOINT);
    registry.removeEntry(nowNanos, FIRST_ENDPOINT.id());
    registry.onRegistryRestored(nowNanos);
    registry.updateEntry(nowNanos, FIRST_ENDPOINT);
    nowNanos += 31 * NANOS_PER_SECOND;

    assertThat(registry.onTick(nowNanos), is(true));
    assertThat(registry.isUsable(FIRST_ENDPOINT.id()), is(true));
  }

  @Test
  void earlierIncarnationInARestoredRegistryDoesNotReplaceALaterOne() {
    RegisteredEndpoint later =
        PlacementFixtures.endpoint("first", PlacementFixtures.OWN_ZONE, 9, 2);
    registry.updateEntry(nowNanos, FIRST_ENDPOINT);
    registry.updateEntry(nowNanos, later);
    registry.onRegistryRestored(nowNanos);
    registry.updateEntry(nowNanos, FIRST_ENDPOINT);

    assertThat(registry.find(FIRST_ENDPOINT.id()).orElseThrow(), is(later));
  }

  @Test
  void changeOfSlotsAloneIsReported() {
    registry.updateEntry(nowNanos, FIRST_ENDPOINT);

    assertThat(
        registry.updateEntry(
            nowNanos, PlacementFixtures.endpoint("first", PlacementFixtures.OWN_ZONE, 5)),
        is(true));
  }

  @Test
  void unknownEndpointIsNotUsable() {
    assertThat(registry.isUsable(new EndpointId("nobody")), is(false));
  }
}
