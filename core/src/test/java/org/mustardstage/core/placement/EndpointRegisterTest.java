package org.mustardstage.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.mustardstage.core.placement.Scenes.SECOND;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.id.EndpointId;

class EndpointRegisterTest {
  private static final RegisteredEndpoint FIRST = Scenes.endpoint("first", Scenes.NEAR_ZONE, 9);
  private static final RegisteredEndpoint SECOND_ONE = Scenes.endpoint("other", Scenes.FAR_ZONE, 9);

  private final EndpointRegistry register = new EndpointRegistry();
  private long nowNanos = 100 * SECOND;

  @Test
  void registeredEndpointIsUsable() {
    register.updateEntry(nowNanos, FIRST);

    assertThat(register.usableEndpoints(Scenes.SERVICE), hasSize(1));
  }

  @Test
  void heartbeatSaysNothingNew() {
    assertThat(register.updateEntry(nowNanos, FIRST), is(true));
    assertThat(register.updateEntry(nowNanos, FIRST), is(false));
  }

  @Test
  void restartUnderTheSameIdIsNews() {
    register.updateEntry(nowNanos, FIRST);

    assertThat(
        register.updateEntry(nowNanos, Scenes.endpoint("first", Scenes.NEAR_ZONE, 9, 2)), is(true));
  }

  @Test
  void drainingEndpointIsNotUsable() {
    register.updateEntry(nowNanos, FIRST);
    register.updateEntry(
        nowNanos,
        new RegisteredEndpoint(
            FIRST.id(),
            FIRST.service(),
            FIRST.address(),
            FIRST.zone(),
            9,
            /* draining= */ true,
            0,
            1));

    assertThat(register.usableEndpoints(Scenes.SERVICE), is(empty()));
  }

  @Test
  void missingEntryCountsAtOnceInQuietTimes() {
    register.updateEntry(nowNanos, FIRST);

    assertThat(register.removeEntry(nowNanos, FIRST.id()), is(true));
    assertThat(register.usableEndpoints(Scenes.SERVICE), is(empty()));
  }

  @Test
  void lapsedEntriesStayInUseUntilTheyHadTimeToReturn() {
    register.updateEntry(nowNanos, FIRST);
    register.updateEntry(nowNanos, SECOND_ONE);
    register.setRegistryAvailable(nowNanos, false);
    nowNanos += 4 * SECOND;
    register.setRegistryAvailable(nowNanos, true);
    register.removeEntry(nowNanos, FIRST.id());
    register.removeEntry(nowNanos, SECOND_ONE.id());
    assertThat(register.usableEndpoints(Scenes.SERVICE), hasSize(2));

    nowNanos += SECOND;
    register.updateEntry(nowNanos, FIRST);
    nowNanos += 2 * SECOND;
    assertThat(register.removeMissingEntries(nowNanos), is(true));

    assertThat(register.isUsable(FIRST.id()), is(true));
    assertThat(register.isUsable(SECOND_ONE.id()), is(false));
  }

  @Test
  void evacuatedZoneIsNotUsableAndColdAfterwards() {
    register.updateEntry(nowNanos, FIRST);
    assertThat(register.setEvacuatedZones(nowNanos, Set.of(Scenes.NEAR_ZONE)), is(true));
    assertThat(register.usableEndpoints(Scenes.SERVICE), is(empty()));

    register.setEvacuatedZones(nowNanos, Set.of());

    assertThat(register.usableEndpoints(Scenes.SERVICE), hasSize(1));
    assertThat(
        register.usableEndpoints(Scenes.SERVICE).get(0).coldUntilNanos(), greaterThan(nowNanos));
  }

  @Test
  void unknownEndpointIsNotUsable() {
    assertThat(register.isUsable(new EndpointId("nobody")), is(false));
  }
}
