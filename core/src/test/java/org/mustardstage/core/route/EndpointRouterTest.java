package org.mustardstage.core.route;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.in;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.manifest.Objective;

/**
 * Checks the selection of endpoints. The failures guarded against are requests to endpoints that
 * are leaving, failing, slow, cold or overloaded, and regions that spill over to each other without
 * a limit or without spare capacity.
 */
class EndpointRouterTest {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;
  private static final long LONG_WAIT_NANOS = 200 * NANOS_PER_MILLI;
  private static final RegionId OWN_REGION = new RegionId("here");
  private static final RegionId OTHER_REGION = new RegionId("there");

  private final EndpointRouter router =
      new EndpointRouter(RouterSettings.DEFAULT, new SplittableRandom(1));

  EndpointRouterTest() {
    router.updateEndpoints(0, Objective.LATENCY, locations(4));
  }

  @Test
  void selectsOnlyTheOwnRegionWhileItHasCapacity() {
    List<String> names = names(candidates(0));
    assertThat(names, hasSize(8));
    assertThat(names, everyItem(not(startsWith("far"))));
  }

  @Test
  void addsOtherRegionsWhenTheWaitExceedsTheirDelay() {
    recordLoadReports(0, 0.5);
    List<EndpointId> chosen = router.candidates(0, RouteRequest.idempotent(LONG_WAIT_NANOS));
    assertThat(names(chosen).getFirst(), not(startsWith("far")));
    assertThat(names(chosen), hasItem(startsWith("far")));
  }

  @Test
  void doesNotSpillOverToARegionWithoutSpareCapacityOrReport() {
    RouteRequest request = RouteRequest.idempotent(LONG_WAIT_NANOS);
    assertThat(names(router.candidates(0, request)), everyItem(not(startsWith("far"))));
    recordLoadReports(NANOS_PER_SECOND, 0.8);
    assertThat(
        names(router.candidates(NANOS_PER_SECOND, request)), everyItem(not(startsWith("far"))));
  }

  @Test
  void spillsOverNoMoreThanItsBudget() {
    router.setEntryVmCount(20);
    int spilledOver = 0;
    for (int millis = 0; millis < 10_000; millis++) {
      recordLoadReports(millis * NANOS_PER_MILLI, 0.5);
      List<EndpointId> chosen =
          router.candidates(millis * NANOS_PER_MILLI, RouteRequest.idempotent(LONG_WAIT_NANOS));
      Optional<EndpointId> remote =
          chosen.stream().filter(e -> e.value().startsWith("far")).findFirst();
      remote.ifPresent(router::recordSent);
      spilledOver += remote.isPresent() ? 1 : 0;
    }
    double slotsHeld = spilledOver * 0.110 / 10;
    assertThat(slotsHeld, lessThan(0.1 * 108 / 20 * 1.1));
    assertThat(spilledOver, greaterThan(10));
  }

  @Test
  void selectsOnlyRegionsThatMayBeUsed() {
    RouteRequest request = new RouteRequest(LONG_WAIT_NANOS, true, Set.of(), OWN_REGION::equals);
    assertThat(names(router.candidates(0, request)), everyItem(not(startsWith("far"))));
  }

  @Test
  void selectsOtherRegionsWhenTheOwnEndpointsAreLeaving() {
    router.updateLeaving(0, endpoint -> !endpoint.value().startsWith("far"));
    assertThat(names(candidates(0)), everyItem(startsWith("far")));
  }

  @Test
  void selectsNothingWhenAllEndpointsAreLeaving() {
    router.updateLeaving(0, endpoint -> true);
    assertThat(candidates(0), empty());
  }

  @Test
  void skipsAnEndpointThatFailedAnEarlierAttempt() {
    EndpointId failed = id("own-0");
    RouteRequest request = new RouteRequest(0, true, Set.of(failed), region -> true);
    for (int i = 0; i < 50; i++) {
      assertThat(router.candidates(0, request), not(hasItem(failed)));
    }
  }

  @Test
  void ranksASlowEndpointLastForLatency() {
    recordResponses(20 * NANOS_PER_MILLI, 50 * NANOS_PER_MILLI);
    assertThat(names(candidates(NANOS_PER_SECOND)).getLast(), is("own-0"));
  }

  @Test
  void ranksTheLeastUtilizedEndpointFirstForHeadroom() {
    router.updateEndpoints(0, Objective.HEADROOM, locations(4));
    for (EndpointLocation location : locations(4)) {
      router.recordLoadReport(
          NANOS_PER_SECOND, location.id(), location.id().equals(id("near-2")) ? 0.1 : 0.6);
    }
    assertThat(names(candidates(NANOS_PER_SECOND)).getFirst(), is("near-2"));
  }

  @Test
  void doesNotPreferABusyEndpointThatReportsToBeIdle() {
    router.updateEndpoints(0, Objective.HEADROOM, locations(4));
    for (EndpointLocation location : locations(4)) {
      boolean isUnderreporting = location.id().equals(id("near-2"));
      router.recordLoadReport(NANOS_PER_SECOND, location.id(), isUnderreporting ? 0 : 0.5);
      for (int i = 0; i < (isUnderreporting ? 200 : 20); i++) {
        router.recordResponse(NANOS_PER_SECOND, location.id(), 100 * NANOS_PER_MILLI);
      }
    }
    assertThat(names(candidates(NANOS_PER_SECOND)).getFirst(), not(is("near-2")));
  }

  @Test
  void spillsOverForHeadroomWhenTheOwnRegionIsNearlyFull() {
    router.updateEndpoints(0, Objective.HEADROOM, locations(4));
    for (EndpointLocation location : locations(4)) {
      boolean isRemote = location.proximity() == Proximity.OTHER_REGION;
      router.recordLoadReport(NANOS_PER_SECOND, location.id(), isRemote ? 0.3 : 0.95);
    }
    assertThat(names(candidates(NANOS_PER_SECOND)), hasItem(startsWith("far")));
  }

  @Test
  void oldReportsLoseTheirWeight() {
    router.updateEndpoints(0, Objective.HEADROOM, locations(4));
    recordLoadReports(0, 0.95);
    assertThat(names(candidates(20 * NANOS_PER_SECOND)), everyItem(not(startsWith("far"))));
  }

  @Test
  void ejectsASlowEndpoint() {
    recordResponses(20 * NANOS_PER_MILLI, 200 * NANOS_PER_MILLI);
    candidates(NANOS_PER_SECOND);
    assertThat(router.ejectionOf(id("own-0")) instanceof EjectionState.Ejected, is(true));
    assertThat(candidates(NANOS_PER_SECOND), not(hasItem(id("own-0"))));
  }

  @Test
  void addedEndpointGoesThroughSlowStart() {
    List<EndpointLocation> extended = new ArrayList<>(locations(4));
    EndpointId added = id("late");
    extended.add(new EndpointLocation(added, OWN_REGION, Proximity.OWN_ZONE, 9));
    router.updateEndpoints(NANOS_PER_SECOND, Objective.LATENCY, extended);
    assertThat(countSelected(added, NANOS_PER_SECOND), lessThan(250));
    assertThat(countSelected(added, 12 * NANOS_PER_SECOND), greaterThan(600));
  }

  @Test
  void coldEndpointIsSelectedRarely() {
    router.recordWarmth(id("own-0"), 0);
    assertThat(countSelected(id("own-0"), NANOS_PER_SECOND), lessThan(250));
  }

  @Property(tries = 300, seed = "4201")
  void neverSelectsALeavingEndpointOrDuplicates(
      @ForAll @IntRange(max = 4_095) int leavingBits,
      @ForAll @IntRange(max = 4_095) int avoidBits) {
    List<EndpointLocation> locations = locations(4);
    Set<EndpointId> leaving = subset(locations, leavingBits);
    router.updateLeaving(0, leaving::contains);
    RouteRequest request =
        new RouteRequest(LONG_WAIT_NANOS, true, subset(locations, avoidBits), r -> true);
    List<EndpointId> chosen = router.candidates(NANOS_PER_SECOND, request);
    assertThat(chosen, everyItem(not(is(in(leaving)))));
    assertThat(Set.copyOf(chosen), hasSize(chosen.size()));
  }

  private static Set<EndpointId> subset(List<EndpointLocation> locations, int bits) {
    Set<EndpointId> subset = new HashSet<>();
    for (int i = 0; i < locations.size(); i++) {
      if ((bits & (1 << i)) != 0) {
        subset.add(locations.get(i).id());
      }
    }
    return subset;
  }

  private int countSelected(EndpointId endpoint, long nowNanos) {
    int times = 0;
    for (int i = 0; i < 1_000; i++) {
      times += candidates(nowNanos).contains(endpoint) ? 1 : 0;
    }
    return times;
  }

  private void recordResponses(long otherNanos, long own0Nanos) {
    for (EndpointLocation location : locations(4)) {
      for (int i = 0; i < 20; i++) {
        boolean isOwn0 = location.id().equals(id("own-0"));
        router.recordResponse(NANOS_PER_SECOND, location.id(), isOwn0 ? own0Nanos : otherNanos);
      }
    }
  }

  private void recordLoadReports(long nowNanos, double utilization) {
    locations(4).forEach(location -> router.recordLoadReport(nowNanos, location.id(), utilization));
  }

  private List<EndpointId> candidates(long nowNanos) {
    return router.candidates(nowNanos, RouteRequest.idempotent(0));
  }

  private static List<String> names(List<EndpointId> endpoints) {
    return endpoints.stream().map(EndpointId::value).toList();
  }

  private static EndpointId id(String name) {
    return new EndpointId(name);
  }

  private static List<EndpointLocation> locations(int perProximity) {
    List<EndpointLocation> locations = new ArrayList<>();
    for (int i = 0; i < perProximity; i++) {
      locations.add(new EndpointLocation(id("own-" + i), OWN_REGION, Proximity.OWN_ZONE, 9));
      locations.add(new EndpointLocation(id("near-" + i), OWN_REGION, Proximity.OWN_REGION, 9));
      locations.add(new EndpointLocation(id("far-" + i), OTHER_REGION, Proximity.OTHER_REGION, 9));
    }
    return locations;
  }
}
