package org.mustardstage.core.drain;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.mustardstage.core.drain.DrainManifests.endpoint;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.id.EndpointId;

class DrainProgressTest {
  private static final EndpointId ENDPOINT = endpoint("e");
  private static final DrainPlan PLAN =
      new DrainPlan(Map.of(ENDPOINT, Set.of(DrainCause.MANIFEST)), Set.of());

  private final DrainProgress progress = new DrainProgress();

  @Test
  void runsUntilTheLastRequestEnds() {
    progress.update(5, PLAN, endpoint -> 3);
    assertThat(progress.isComplete(), is(false));
    progress.update(9, PLAN, endpoint -> 0);
    assertThat(progress.stateOf(ENDPOINT), is(Optional.of(new DrainState.Empty(5, 9))));
    assertThat(progress.isComplete(), is(true));
  }

  @Test
  void keepsTheMomentItBecameEmpty() {
    progress.update(5, PLAN, endpoint -> 0);
    progress.update(9, PLAN, endpoint -> 0);
    assertThat(progress.stateOf(ENDPOINT), is(Optional.of(new DrainState.Empty(5, 5))));
  }

  @Test
  void isNotEmptyWhenALateRequestShowsUp() {
    progress.update(5, PLAN, endpoint -> 0);
    progress.update(9, PLAN, endpoint -> 1);
    assertThat(progress.stateOf(ENDPOINT), is(Optional.of(new DrainState.Running(5, 1))));
  }

  @Test
  void forgetsAnEndpointThatStays() {
    progress.update(5, PLAN, endpoint -> 1);
    progress.update(9, DrainPlan.NONE, endpoint -> 1);
    assertThat(progress.stateOf(ENDPOINT), is(Optional.empty()));
  }
}
