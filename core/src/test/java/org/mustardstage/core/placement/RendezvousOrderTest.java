package org.mustardstage.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Lists;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.id.EndpointId;

/**
 * Guards against VMs that disagree on the endpoint of a key, and against keys that move at once.
 */
class RendezvousOrderTest {
  private static final int KEYS = 2_000;

  private static ImmutableList<EndpointState> states(int count) {
    return PlacementFixtures.endpoints(PlacementFixtures.OWN_ZONE, count, 9).stream()
        .map(usable -> new EndpointState(usable.endpoint(), 0))
        .collect(ImmutableList.toImmutableList());
  }

  private static Map<String, EndpointId> firstByKey(List<EndpointState> states) {
    RendezvousOrder order = new RendezvousOrder(PlacementFixtures.roundTrips());
    order.setEndpoints(ImmutableList.copyOf(states));
    Map<String, EndpointId> first = new HashMap<>();
    for (int i = 0; i < KEYS; i++) {
      String key = "key-" + i;
      first.put(key, order.rankByRegion(key).getFirst().getFirst().endpoint().id());
    }
    return first;
  }

  @Test
  void orderDoesNotDependOnTheOrderOfTheEndpoints() {
    ImmutableList<EndpointState> states = states(20);

    assertThat(firstByKey(Lists.reverse(states)), equalTo(firstByKey(states)));
  }

  @Test
  void onlyTheKeysOfARemovedEndpointMove() {
    ImmutableList<EndpointState> states = states(20);
    Map<String, EndpointId> before = firstByKey(states);
    Map<String, EndpointId> after = firstByKey(states.subList(1, states.size()));

    EndpointId removed = states.getFirst().endpoint().id();
    before.forEach(
        (key, endpoint) -> {
          if (!endpoint.equals(removed)) {
            assertThat(after.get(key), is(endpoint));
          }
        });
  }

  /** Orders that are patched must equal those that are computed anew. */
  @Test
  void orderAfterManyChangesEqualsAFreshOne() {
    SplittableRandom random = new SplittableRandom(7);
    List<EndpointState> all = new ArrayList<>(states(30));
    PlacementFixtures.endpoints(PlacementFixtures.REMOTE_ZONE, 30, 9)
        .forEach(usable -> all.add(new EndpointState(usable.endpoint(), 0)));
    RendezvousOrder order = new RendezvousOrder(PlacementFixtures.roundTrips());
    List<EndpointState> present = new ArrayList<>(all);
    for (int step = 0; step < 500; step++) {
      int changed = random.nextInt(step % 50 == 0 ? 40 : 3);
      for (int i = 0; i < changed; i++) {
        EndpointState state = all.get(random.nextInt(all.size()));
        if (!present.remove(state)) {
          present.add(state);
        }
      }
      order.setEndpoints(ImmutableList.copyOf(present));
      RendezvousOrder fresh = new RendezvousOrder(PlacementFixtures.roundTrips());
      fresh.setEndpoints(ImmutableList.copyOf(present));
      for (int i = 0; i < 3; i++) {
        String key = "key-" + random.nextInt(20);
        assertThat(order.rankByRegion(key), equalTo(fresh.rankByRegion(key)));
      }
    }
  }

  @Test
  void keysAreSpreadEvenly() {
    Map<EndpointId, Integer> counts = new HashMap<>();
    firstByKey(states(20)).values().forEach(id -> counts.merge(id, 1, Integer::sum));

    counts.values().forEach(count -> assertThat(count, is(greaterThan(KEYS / 20 / 2))));
    counts.values().forEach(count -> assertThat(count, is(lessThan(KEYS / 20 * 2))));
  }
}
