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

class EndpointRouterTest {
  private static final long MILLI = 1_000_000;
  private static final long SECOND = 1_000 * MILLI;
  private static final long LONG_WAIT = 200 * MILLI;
  private static final RegionId HERE = new RegionId("here");
  private static final RegionId THERE = new RegionId("there");

  private final EndpointRouter router =
      new EndpointRouter(RouterSettings.DEFAULT, new SplittableRandom(1));

  EndpointRouterTest() {
    router.updateEndpoints(0, Objective.LATENCY, sites(4));
  }

  @Test
  void namesOnlyTheOwnRegionWhileItIsFree() {
    List<String> names = names(candidates(0));
    assertThat(names, hasSize(8));
    assertThat(names, everyItem(not(startsWith("far"))));
  }

  @Test
  void addsOtherRegionsOnceTheWaitExceedsTheirDelay() {
    reportAll(0, 0.5);
    List<EndpointId> chosen = router.candidates(0, RouteRequest.idempotent(LONG_WAIT));
    assertThat(names(chosen).getFirst(), not(startsWith("far")));
    assertThat(names(chosen), hasItem(startsWith("far")));
  }

  @Test
  void spillsNothingToARegionWithNothingToSpareOrNoReport() {
    RouteRequest request = RouteRequest.idempotent(LONG_WAIT);
    assertThat(names(router.candidates(0, request)), everyItem(not(startsWith("far"))));
    reportAll(SECOND, 0.8);
    assertThat(names(router.candidates(SECOND, request)), everyItem(not(startsWith("far"))));
  }

  @Test
  void spillsNoMoreThanItsBudget() {
    router.setEntryVmCount(20);
    int spilled = 0;
    for (int milli = 0; milli < 10_000; milli++) {
      reportAll(milli * MILLI, 0.5);
      List<EndpointId> chosen =
          router.candidates(milli * MILLI, RouteRequest.idempotent(LONG_WAIT));
      Optional<EndpointId> far =
          chosen.stream().filter(e -> e.value().startsWith("far")).findFirst();
      far.ifPresent(router::recordSent);
      spilled += far.isPresent() ? 1 : 0;
    }
    double slotsHeld = spilled * 0.110 / 10;
    assertThat(slotsHeld, lessThan(0.1 * 108 / 20 * 1.1));
    assertThat(spilled, greaterThan(10));
  }

  @Test
  void keepsToRegionsThatMayBeUsed() {
    RouteRequest request = new RouteRequest(LONG_WAIT, true, Set.of(), HERE::equals);
    assertThat(names(router.candidates(0, request)), everyItem(not(startsWith("far"))));
  }

  @Test
  void goesToOtherRegionsWhenTheOwnOneLeaves() {
    router.updateLeaving(0, endpoint -> !endpoint.value().startsWith("far"));
    assertThat(names(candidates(0)), everyItem(startsWith("far")));
  }

  @Test
  void namesNoneWhenAllLeave() {
    router.updateLeaving(0, endpoint -> true);
    assertThat(candidates(0), empty());
  }

  @Test
  void avoidsAnEndpointThatFailedAnEarlierAttempt() {
    EndpointId failed = id("own-0");
    RouteRequest request = new RouteRequest(0, true, Set.of(failed), region -> true);
    for (int i = 0; i < 50; i++) {
      assertThat(router.candidates(0, request), not(hasItem(failed)));
    }
  }

  @Test
  void prefersAFastEndpointForLatency() {
    answerAll(20 * MILLI, 50 * MILLI);
    assertThat(names(candidates(SECOND)).getLast(), is("own-0"));
  }

  @Test
  void prefersAFreeEndpointForHeadroom() {
    router.updateEndpoints(0, Objective.HEADROOM, sites(4));
    for (EndpointLocation site : sites(4)) {
      router.recordLoadReport(SECOND, site.id(), site.id().equals(id("near-2")) ? 0.1 : 0.6);
    }
    assertThat(names(candidates(SECOND)).getFirst(), is("near-2"));
  }

  @Test
  void doesNotBelieveAFullEndpointThatReportsToBeIdle() {
    router.updateEndpoints(0, Objective.HEADROOM, sites(4));
    for (EndpointLocation site : sites(4)) {
      boolean lies = site.id().equals(id("near-2"));
      router.recordLoadReport(SECOND, site.id(), lies ? 0 : 0.5);
      for (int i = 0; i < (lies ? 200 : 20); i++) {
        router.recordResponse(SECOND, site.id(), 100 * MILLI);
      }
    }
    assertThat(names(candidates(SECOND)).getFirst(), not(is("near-2")));
  }

  @Test
  void seeksHeadroomInOtherRegionsWhenTheOwnOneIsNearlyFull() {
    router.updateEndpoints(0, Objective.HEADROOM, sites(4));
    for (EndpointLocation site : sites(4)) {
      boolean isFar = site.proximity() == Proximity.OTHER_REGION;
      router.recordLoadReport(SECOND, site.id(), isFar ? 0.3 : 0.95);
    }
    assertThat(names(candidates(SECOND)), hasItem(startsWith("far")));
  }

  @Test
  void oldReportsLoseTheirWeight() {
    router.updateEndpoints(0, Objective.HEADROOM, sites(4));
    reportAll(0, 0.95);
    assertThat(names(candidates(20 * SECOND)), everyItem(not(startsWith("far"))));
  }

  @Test
  void ejectsASlowEndpoint() {
    answerAll(20 * MILLI, 200 * MILLI);
    candidates(SECOND);
    assertThat(router.ejectionOf(id("own-0")) instanceof EjectionState.Ejected, is(true));
    assertThat(candidates(SECOND), not(hasItem(id("own-0"))));
  }

  @Test
  void aLateEndpointStartsSlowly() {
    List<EndpointLocation> more = new ArrayList<>(sites(4));
    EndpointId late = id("late");
    more.add(new EndpointLocation(late, HERE, Proximity.OWN_ZONE, 9));
    router.updateEndpoints(SECOND, Objective.LATENCY, more);
    assertThat(timesNamed(late, SECOND), lessThan(250));
    assertThat(timesNamed(late, 12 * SECOND), greaterThan(600));
  }

  @Test
  void aColdEndpointGetsLittle() {
    router.recordWarmth(id("own-0"), 0);
    assertThat(timesNamed(id("own-0"), SECOND), lessThan(250));
  }

  @Property(tries = 300, seed = "4201")
  void neverNamesALeavingEndpointNorOneTwice(
      @ForAll @IntRange(max = 4_095) int leavingBits,
      @ForAll @IntRange(max = 4_095) int avoidBits) {
    List<EndpointLocation> sites = sites(4);
    Set<EndpointId> leaving = subset(sites, leavingBits);
    router.updateLeaving(0, leaving::contains);
    RouteRequest request = new RouteRequest(LONG_WAIT, true, subset(sites, avoidBits), r -> true);
    List<EndpointId> chosen = router.candidates(SECOND, request);
    assertThat(chosen, everyItem(not(is(in(leaving)))));
    assertThat(Set.copyOf(chosen), hasSize(chosen.size()));
  }

  private static Set<EndpointId> subset(List<EndpointLocation> sites, int bits) {
    Set<EndpointId> subset = new HashSet<>();
    for (int i = 0; i < sites.size(); i++) {
      if ((bits & (1 << i)) != 0) {
        subset.add(sites.get(i).id());
      }
    }
    return subset;
  }

  private int timesNamed(EndpointId endpoint, long nowNanos) {
    int times = 0;
    for (int i = 0; i < 1_000; i++) {
      times += candidates(nowNanos).contains(endpoint) ? 1 : 0;
    }
    return times;
  }

  private void answerAll(long usualNanos, long firstNanos) {
    for (EndpointLocation site : sites(4)) {
      for (int i = 0; i < 20; i++) {
        boolean isFirst = site.id().equals(id("own-0"));
        router.recordResponse(SECOND, site.id(), isFirst ? firstNanos : usualNanos);
      }
    }
  }

  private void reportAll(long nowNanos, double usedShare) {
    sites(4).forEach(site -> router.recordLoadReport(nowNanos, site.id(), usedShare));
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

  private static List<EndpointLocation> sites(int each) {
    List<EndpointLocation> sites = new ArrayList<>();
    for (int i = 0; i < each; i++) {
      sites.add(new EndpointLocation(id("own-" + i), HERE, Proximity.OWN_ZONE, 9));
      sites.add(new EndpointLocation(id("near-" + i), HERE, Proximity.OWN_REGION, 9));
      sites.add(new EndpointLocation(id("far-" + i), THERE, Proximity.OTHER_REGION, 9));
    }
    return sites;
  }
}
