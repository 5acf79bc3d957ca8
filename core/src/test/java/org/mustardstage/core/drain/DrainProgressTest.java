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
  private static final long SETTLE = 10;
  private static final DrainPlan PLAN =
      new DrainPlan(Map.of(ENDPOINT, Set.of(DrainCause.MANIFEST)), Set.of());

  private final DrainProgress progress = new DrainProgress(SETTLE);

  @Test
  void isEmptyOnceNoRequestCameForTheSettlingTime() {
    update(5, 3);
    update(9, 0);
    assertThat(progress.isComplete(), is(false));
    update(18, 0);
    assertThat(progress.stateOf(ENDPOINT), is(Optional.of(new DrainState.Quiet(5, 9))));
    update(19, 0);
    assertThat(progress.stateOf(ENDPOINT), is(Optional.of(new DrainState.Empty(5, 9))));
    assertThat(progress.isComplete(), is(true));
  }

  @Test
  void aRequestOfAnEntryVmThatDidNotKnowYetStartsTheSettlingTimeAnew() {
    update(5, 0);
    update(9, 1);
    update(12, 0);
    update(16, 0);
    assertThat(progress.stateOf(ENDPOINT), is(Optional.of(new DrainState.Quiet(5, 12))));
  }

  @Test
  void keepsTheMomentItBecameEmpty() {
    update(5, 0);
    update(15, 0);
    update(90, 0);
    assertThat(progress.stateOf(ENDPOINT), is(Optional.of(new DrainState.Empty(5, 5))));
  }

  @Test
  void isNotEmptyWhenALateRequestShowsUp() {
    update(5, 0);
    update(15, 0);
    update(90, 1);
    assertThat(progress.stateOf(ENDPOINT), is(Optional.of(new DrainState.Running(5, 1))));
  }

  @Test
  void forgetsAnEndpointThatStays() {
    update(5, 1);
    progress.update(9, DrainPlan.NONE, endpoint -> 1);
    assertThat(progress.stateOf(ENDPOINT), is(Optional.empty()));
  }

  private void update(long nowNanos, int slotsInUse) {
    progress.update(nowNanos, PLAN, endpoint -> slotsInUse);
  }
}
