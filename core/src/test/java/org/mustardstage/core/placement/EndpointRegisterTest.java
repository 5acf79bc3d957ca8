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

  private final EndpointRegister register = new EndpointRegister();
  private long nowNanos = 100 * SECOND;

  @Test
  void registeredEndpointIsUsable() {
    register.onEntry(nowNanos, FIRST);

    assertThat(register.usable(Scenes.SERVICE), hasSize(1));
  }

  @Test
  void heartbeatSaysNothingNew() {
    assertThat(register.onEntry(nowNanos, FIRST), is(true));
    assertThat(register.onEntry(nowNanos, FIRST), is(false));
  }

  @Test
  void restartUnderTheSameIdIsNews() {
    register.onEntry(nowNanos, FIRST);

    assertThat(
        register.onEntry(nowNanos, Scenes.endpoint("first", Scenes.NEAR_ZONE, 9, 2)), is(true));
  }

  @Test
  void drainingEndpointIsNotUsable() {
    register.onEntry(nowNanos, FIRST);
    register.onEntry(
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

    assertThat(register.usable(Scenes.SERVICE), is(empty()));
  }

  @Test
  void missingEntryCountsAtOnceInQuietTimes() {
    register.onEntry(nowNanos, FIRST);

    assertThat(register.onMissing(nowNanos, FIRST.id()), is(true));
    assertThat(register.usable(Scenes.SERVICE), is(empty()));
  }

  @Test
  void lapsedEntriesStayInUseUntilTheyHadTimeToReturn() {
    register.onEntry(nowNanos, FIRST);
    register.onEntry(nowNanos, SECOND_ONE);
    register.onRegisterAnswers(nowNanos, false);
    nowNanos += 4 * SECOND;
    register.onRegisterAnswers(nowNanos, true);
    register.onMissing(nowNanos, FIRST.id());
    register.onMissing(nowNanos, SECOND_ONE.id());
    assertThat(register.usable(Scenes.SERVICE), hasSize(2));

    nowNanos += SECOND;
    register.onEntry(nowNanos, FIRST);
    nowNanos += 2 * SECOND;
    assertThat(register.onTick(nowNanos), is(true));

    assertThat(register.isUsable(FIRST.id()), is(true));
    assertThat(register.isUsable(SECOND_ONE.id()), is(false));
  }

  @Test
  void evacuatedZoneIsNotUsableAndColdAfterwards() {
    register.onEntry(nowNanos, FIRST);
    assertThat(register.onEvacuated(nowNanos, Set.of(Scenes.NEAR_ZONE)), is(true));
    assertThat(register.usable(Scenes.SERVICE), is(empty()));

    register.onEvacuated(nowNanos, Set.of());

    assertThat(register.usable(Scenes.SERVICE), hasSize(1));
    assertThat(register.usable(Scenes.SERVICE).get(0).coldUntilNanos(), greaterThan(nowNanos));
  }

  @Test
  void unknownEndpointIsNotUsable() {
    assertThat(register.isUsable(new EndpointId("nobody")), is(false));
  }
}
