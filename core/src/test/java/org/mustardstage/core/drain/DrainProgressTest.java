package org.mustardstage.core.drain;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.mustardstage.core.drain.DrainManifests.endpoint;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.id.EndpointId;

/**
 * Checks that an endpoint counts as drained, and so may be stopped, only after the settling time in
 * which an entry VM that does not know of the drain yet could still send a request.
 */
class DrainProgressTest {
  private static final EndpointId ENDPOINT = endpoint("e");
  private static final long SETTLE_NANOS = 10;
  private static final DrainPlan PLAN =
      new DrainPlan(Map.of(ENDPOINT, Set.of(DrainCause.MANIFEST)), Set.of());

  private final DrainProgress progress = new DrainProgress(SETTLE_NANOS);

  @Test
  void isDrainedOnceNoSlotWasInUseForTheSettlingTime() {
    update(5, 3);
    update(9, 0);
    assertThat(progress.isComplete(), is(false));
    update(18, 0);
    assertThat(progress.stateOf(ENDPOINT), is(Optional.of(new DrainState.Settling(5, 9))));
    update(19, 0);
    assertThat(progress.stateOf(ENDPOINT), is(Optional.of(new DrainState.Drained(5, 9))));
    assertThat(progress.isComplete(), is(true));
  }

  @Test
  void aLateRequestRestartsTheSettlingTime() {
    update(5, 0);
    update(9, 1);
    update(12, 0);
    update(16, 0);
    assertThat(progress.stateOf(ENDPOINT), is(Optional.of(new DrainState.Settling(5, 12))));
  }

  @Test
  void keepsTheTimeOfTheLastRequestOnceDrained() {
    update(5, 0);
    update(15, 0);
    update(90, 0);
    assertThat(progress.stateOf(ENDPOINT), is(Optional.of(new DrainState.Drained(5, 5))));
  }

  @Test
  void isNoLongerDrainedWhenARequestArrives() {
    update(5, 0);
    update(15, 0);
    update(90, 1);
    assertThat(progress.stateOf(ENDPOINT), is(Optional.of(new DrainState.Draining(5, 1))));
  }

  @Test
  void removesAnEndpointThatIsNoLongerDraining() {
    update(5, 1);
    progress.update(9, DrainPlan.NONE, endpoint -> 1);
    assertThat(progress.stateOf(ENDPOINT), is(Optional.empty()));
  }

  private void update(long nowNanos, int slotsInUse) {
    progress.update(nowNanos, PLAN, endpoint -> slotsInUse);
  }
}
