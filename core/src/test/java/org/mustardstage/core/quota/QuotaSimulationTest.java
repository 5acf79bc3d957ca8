package org.mustardstage.core.quota;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.mustardstage.core.quota.QuotaCluster.SECOND;

import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;
import java.util.function.IntUnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.mustardstage.core.id.TenantName;
import org.mustardstage.core.tenant.TenantDirectory;
import org.mustardstage.core.tenant.TenantQuota;

/** Checks quotas over all VMs in virtual time, with one kind of failure at a time. */
class QuotaSimulationTest {
  private static final QuotaSettings SETTINGS = QuotaSettings.defaults();
  private static final long END_NANOS = 40 * SECOND;
  private static final long FAULT_NANOS = 18 * SECOND;
  private static final long HEAL_NANOS = 26 * SECOND;

  private static final TenantName LARGE = new TenantName("large");
  private static final TenantName MEDIUM = new TenantName("medium");
  private static final TenantName SMALL = new TenantName("small");
  private static final TenantName TINY = new TenantName("tiny");

  private static final ImmutableMap<TenantName, TenantQuota> QUOTAS =
      ImmutableMap.of(
          LARGE, new TenantQuota(300, 60),
          MEDIUM, new TenantQuota(30, 10),
          SMALL, new TenantQuota(4, 4),
          TINY, new TenantQuota(1, 1));

  private static final TenantDirectory TENANTS = QuotaCluster.tenants(QUOTAS);

  enum Fault {
    NONE,
    KILL_ONE,
    KILL_HALF,
    KILL_ZONE,
    RESTART_ALL,
    CUT_ONE,
    CUT_HALF,
    CUT_ZONE,
    CUT_ONE_WAY,
    LOSE_MESSAGES
  }

  private static long bound(TenantQuota quota) {
    double allowed = quota.requestsPerSecond() * SETTINGS.windowNanos() / 1e9 + quota.burst();
    return (long) (allowed * (1 + SETTINGS.excessShare()) + SETTINGS.reserve());
  }

  private static void load(QuotaCluster cluster, double demand, IntUnaryOperator vmAt) {
    QUOTAS.forEach(
        (tenant, quota) ->
            cluster.load(tenant, demand * quota.requestsPerSecond(), END_NANOS, vmAt));
  }

  private static void begin(QuotaCluster cluster, Fault fault) {
    int size = cluster.size();
    switch (fault) {
      case NONE -> {}
      case KILL_ONE -> cluster.kill(1);
      case KILL_HALF -> kill(cluster, vm -> vm < size / 2);
      case KILL_ZONE -> kill(cluster, vm -> QuotaCluster.zoneOf(vm) == 2);
      case RESTART_ALL -> kill(cluster, vm -> true);
      case CUT_ONE -> cluster.setLinked((from, to) -> from != 1 && to != 1);
      case CUT_HALF -> cluster.setLinked((from, to) -> from < size / 2 == to < size / 2);
      case CUT_ZONE ->
          cluster.setLinked(
              (from, to) -> (QuotaCluster.zoneOf(from) == 2) == (QuotaCluster.zoneOf(to) == 2));
      case CUT_ONE_WAY -> cluster.setLinked((from, to) -> from >= size / 2 || to < size / 2);
      case LOSE_MESSAGES -> cluster.setLossShare(0.1);
    }
    cluster.noticeChanges(1, 6);
  }

  private static void kill(QuotaCluster cluster, IntPredicate which) {
    for (int vm = 0; vm < cluster.size(); vm++) {
      if (which.test(vm)) {
        cluster.kill(vm);
        int killed = vm;
        cluster.events.at(HEAL_NANOS, () -> cluster.restart(killed));
      }
    }
  }

  private static QuotaCluster run(
      int vms, long seed, Fault fault, double demand, IntUnaryOperator vmAt) {
    QuotaCluster cluster = new QuotaCluster(vms, seed);
    cluster.startAll(TENANTS);
    cluster.events.at(7 * SECOND, () -> load(cluster, demand, vmAt));
    cluster.events.at(FAULT_NANOS, () -> begin(cluster, fault));
    cluster.events.at(
        HEAL_NANOS,
        () -> {
          cluster.setLinked((from, to) -> true);
          cluster.setLossShare(0);
          cluster.noticeChanges(0.3, 4);
        });
    cluster.events.runUntil(END_NANOS);
    return cluster;
  }

  private static void assertBoundHolds(QuotaCluster cluster, String what) {
    QUOTAS.forEach(
        (tenant, quota) ->
            assertThat(
                "runs of " + tenant + " within a window, " + what,
                cluster.mostInWindow(tenant, SETTINGS.windowNanos(), 0),
                lessThanOrEqualTo(bound(quota))));
  }

  /** Checks that 95% of what the quotas allow of the demand was served in a span. */
  private static void assertOwedIsServed(
      QuotaCluster cluster, double demand, long fromNanos, long untilNanos, String what) {
    QUOTAS.forEach(
        (tenant, quota) -> {
          long asked =
              QuotaCluster.countIn(
                  cluster.arrivals.getOrDefault(tenant, List.of()), fromNanos, untilNanos);
          double allowed = quota.requestsPerSecond() * (untilNanos - fromNanos) / 1e9;
          // One request less, as spans begin and end between two requests.
          long owed = (long) (0.95 * Math.min((double) asked, allowed)) - 1;
          assertThat(
              String.format("runs of %s of %s asked, demand %s, %s", tenant, asked, demand, what),
              QuotaCluster.countIn(cluster.runs.get(tenant), fromNanos, untilNanos),
              greaterThanOrEqualTo(owed));
        });
  }

  @ParameterizedTest
  @EnumSource(Fault.class)
  void boundHoldsInEachWindowWhileAllAskForMore(Fault fault) {
    for (long seed = 1; seed <= 3; seed++) {
      QuotaCluster cluster = run(100, seed, fault, 4, vm -> vm);
      assertBoundHolds(cluster, fault + ", seed " + seed);
      if (fault != Fault.RESTART_ALL) {
        assertOwedIsServed(
            cluster, 4, HEAL_NANOS + 7 * SECOND, END_NANOS, fault + " has ended, seed " + seed);
      }
    }
  }

  @Test
  void boundHoldsOn300VmsOfWhichHalfAreCutOff() {
    QuotaCluster cluster = run(300, 11, Fault.CUT_HALF, 3, vm -> vm);
    assertBoundHolds(cluster, "300 VMs");
  }

  @ParameterizedTest
  @CsvSource({"0.8", "1.5", "7.5"})
  void owedIsServedWhereverCallersConnect(double demand) {
    for (long seed = 1; seed <= 3; seed++) {
      Map<String, IntUnaryOperator> places =
          ImmutableMap.of(
              "all VMs", vm -> vm, "one VM", vm -> 5, "one region", vm -> vm / 6 * 6 + vm % 2);
      for (Map.Entry<String, IntUnaryOperator> place : places.entrySet()) {
        QuotaCluster cluster = run(98, seed, Fault.NONE, demand, place.getValue());
        String what = place.getKey() + ", seed " + seed;
        assertOwedIsServed(cluster, demand, 10 * SECOND, END_NANOS - SECOND, what);
        assertBoundHolds(cluster, what);
      }
    }
  }

  @Test
  void owedIsServedToCallersThatMoveBetweenRegions() {
    QuotaCluster cluster = new QuotaCluster(98, 4);
    IntUnaryOperator moving =
        vm -> vm / 12 * 6 + 2 * (int) (cluster.events.nowNanos() / (4 * SECOND) % 3);
    cluster.startAll(TENANTS);
    cluster.events.at(7 * SECOND, () -> load(cluster, 2, moving));
    cluster.events.runUntil(END_NANOS);
    assertOwedIsServed(cluster, 2, 10 * SECOND, END_NANOS - SECOND, "moving");
    assertBoundHolds(cluster, "moving");
  }

  /** Handles the loss of all VMs at once, which takes a second with the platform's list at hand. */
  @Test
  void owedIsServedFourSecondsAfterAllVmsStartedAgainWithTheListAtHand() {
    for (long seed = 1; seed <= 5; seed++) {
      QuotaCluster cluster = new QuotaCluster(98, seed);
      cluster.setListsVms(true);
      cluster.startAll(TENANTS);
      cluster.events.at(7 * SECOND, () -> load(cluster, 4, vm -> vm));
      long startedNanos = FAULT_NANOS + SECOND;
      for (int i = 0; i < cluster.size(); i++) {
        int vm = i;
        cluster.events.at(FAULT_NANOS, () -> cluster.kill(vm));
        cluster.events.at(startedNanos, () -> cluster.restart(vm));
      }
      cluster.events.at(startedNanos, () -> cluster.noticeChanges(0.3, 2));
      cluster.events.runUntil(END_NANOS);
      String what = "all started again, seed " + seed;
      assertBoundHolds(cluster, what);
      assertOwedIsServed(cluster, 4, startedNanos + 4 * SECOND, END_NANOS - SECOND, what);
    }
  }

  @Test
  void lowerQuotaBindsOnceAllVmsHaveIt() {
    QuotaCluster cluster = new QuotaCluster(100, 5);
    TenantQuota lower = new TenantQuota(50, 5);
    TenantDirectory lowered = QuotaCluster.tenants(ImmutableMap.of(LARGE, lower));
    cluster.startAll(TENANTS);
    cluster.events.at(7 * SECOND, () -> cluster.load(LARGE, 600, END_NANOS, vm -> vm));
    for (int i = 0; i < cluster.size(); i++) {
      int vm = i;
      cluster.events.at(
          20 * SECOND + cluster.random.nextInt(4) * SECOND, () -> cluster.setTenants(vm, lowered));
    }
    cluster.events.runUntil(END_NANOS);
    assertThat(
        "runs within a window",
        cluster.mostInWindow(LARGE, SETTINGS.windowNanos(), 24 * SECOND),
        lessThanOrEqualTo(bound(lower)));
  }

  @Test
  void deathOfTheOwnerCostsThreeSecondsAtMost() {
    for (long seed = 1; seed <= 5; seed++) {
      QuotaCluster cluster = new QuotaCluster(98, seed);
      cluster.startAll(TENANTS);
      cluster.events.at(7 * SECOND, () -> load(cluster, 2, vm -> vm));
      cluster.events.at(
          FAULT_NANOS,
          () -> {
            String owner =
                cluster.quotas(0).status(FAULT_NANOS).stream()
                    .filter(status -> status.tenant().equals(LARGE))
                    .findFirst()
                    .orElseThrow()
                    .owner()
                    .value();
            cluster.kill(Integer.parseInt(owner.substring(3)));
            cluster.noticeChanges(2, 6);
          });
      cluster.events.runUntil(END_NANOS);
      assertOwedIsServed(
          cluster, 2, FAULT_NANOS + 3 * SECOND, END_NANOS - SECOND, "owner killed, seed " + seed);
      assertBoundHolds(cluster, "owner killed, seed " + seed);
    }
  }
}
