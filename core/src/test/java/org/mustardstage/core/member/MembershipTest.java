package org.mustardstage.core.member;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.member.MemberStatus.Liveness;

/**
 * Checks the failure detector and the spread of its results over three regions. Calling a VM dead
 * or gone while it still runs would let its permits be handed out twice; a dead VM that stays in
 * the view would get callers.
 */
class MembershipTest {
  private final MemberCluster cluster = MemberCluster.of(3, 2, 4);

  @Test
  void everyVmDiscoversEveryOther() {
    cluster.advance(Duration.ofSeconds(10));
    assertThat(cluster.view("r0-z0-v0").membersAcceptingCallers(), hasSize(24));
    assertThat(cluster.view("r2-z1-v3").membersAcceptingCallers(), hasSize(24));
    assertThat(cluster.view("r0-z0-v0").silentZones(), empty());
  }

  @Test
  void crashedVmIsSuspectedThenBelievedDeadInItsZone() {
    cluster.advance(Duration.ofSeconds(10));
    cluster.crash("r0-z0-v1");
    cluster.advance(Duration.ofSeconds(1));
    assertThat(cluster.status("r0-z0-v0", "r0-z0-v1").liveness(), equalTo(Liveness.SUSPECTED));
    cluster.advance(Duration.ofSeconds(1));
    assertThat(cluster.status("r0-z0-v0", "r0-z0-v1").liveness(), equalTo(Liveness.DEAD));
  }

  /** Most of a zone loses its links to endpoints while the VMs stay in touch with each other. */
  @Test
  void vmsThatReachNoEndpointLeaveTheAnswersOfAllVmsAndComeBack() {
    cluster.advance(Duration.ofSeconds(10));
    setCutOff(true);
    cluster.advance(Duration.ofSeconds(3));
    for (String viewer : List.of("r0-z0-v0", "r0-z0-v3", "r0-z1-v1", "r2-z1-v3")) {
      assertThat(cluster.view(viewer).membersAcceptingCallers(), hasSize(21));
    }

    setCutOff(false);
    cluster.advance(Duration.ofSeconds(3));
    for (String viewer : List.of("r0-z0-v0", "r0-z0-v3", "r0-z1-v1", "r2-z1-v3")) {
      assertThat(cluster.view(viewer).membersAcceptingCallers(), hasSize(24));
    }
  }

  private void setCutOff(boolean cutOff) {
    for (String vm : List.of("r0-z0-v0", "r0-z0-v1", "r0-z0-v2")) {
      cluster.execute(vm, cluster.state(vm).setCutOff(cluster.nowNanos(), cutOff));
    }
  }

  @Test
  void vmsThatReachNoEndpointAreUsedWhenThereAreNoOthers() {
    cluster.advance(Duration.ofSeconds(10));
    for (Member member : cluster.view("r0-z0-v0").alive()) {
      String vm = member.vm().value();
      cluster.execute(vm, cluster.state(vm).setCutOff(cluster.nowNanos(), true));
    }
    cluster.advance(Duration.ofSeconds(3));

    assertThat(cluster.view("r0-z0-v0").membersAcceptingCallers(), hasSize(24));
  }

  @Test
  void crashedVmIsRemovedFromTheViewOfOtherRegions() {
    cluster.advance(Duration.ofSeconds(10));
    cluster.crash("r0-z0-v1");
    cluster.advance(Duration.ofSeconds(10));
    assertThat(cluster.view("r2-z0-v0").membersAcceptingCallers(), hasSize(23));
  }

  @Test
  void silentVmIsNotProvenGoneWhileListed() {
    cluster.advance(Duration.ofSeconds(10));
    cluster.crash("r0-z0-v1");
    cluster.advance(Duration.ofSeconds(60));
    assertThat(cluster.status("r0-z0-v0", "r0-z0-v1").provenGone(), is(false));
  }

  @Test
  void silentVmIsProvenGoneOnceDelisted() {
    cluster.advance(Duration.ofSeconds(10));
    cluster.crash("r0-z0-v1");
    cluster.advance(Duration.ofSeconds(16));
    cluster.publishList();
    assertThat(cluster.status("r0-z0-v0", "r0-z0-v1").provenGone(), is(true));
  }

  @Test
  void delistedVmIsNotProvenGoneBeforeTheLongestLeaseExpires() {
    cluster.advance(Duration.ofSeconds(10));
    cluster.crash("r0-z0-v1");
    cluster.publishList();
    cluster.advance(Duration.ofSeconds(10));
    assertThat(cluster.status("r0-z0-v0", "r0-z0-v1").provenGone(), is(false));
  }

  @Test
  void vmThatWasNeverListedIsNotProvenGone() {
    cluster.add(MemberCluster.member("r0", "r0-z0", "r0-z0-new", 1, 20_000));
    cluster.execute(
        "r0-z0-v0",
        cluster.state("r0-z0-v0").addPeer(cluster.nowNanos(), cluster.member("r0-z0-new")));
    cluster.crash("r0-z0-new");
    cluster.advance(Duration.ofSeconds(60));
    cluster.publishList();
    assertThat(cluster.status("r0-z0-v0", "r0-z0-new").provenGone(), is(false));
  }

  @Test
  void earlierIncarnationIsProvenGoneWhenALaterOneSendsHeartbeats() {
    cluster.advance(Duration.ofSeconds(10));
    cluster.add(MemberCluster.member("r0", "r0-z0", "r0-z0-v1", 2, 10_001));
    cluster.publishList();
    cluster.advance(Duration.ofSeconds(3));
    boolean earlierIsGone =
        cluster.view("r0-z0-v0").statuses().stream()
            .filter(status -> status.member().vm().value().equals("r0-z0-v1"))
            .filter(status -> status.member().incarnation().number() == 1)
            .allMatch(MemberStatus::provenGone);
    assertThat(earlierIsGone, is(true));
    assertThat(cluster.status("r0-z0-v0", "r0-z0-v1").liveness(), equalTo(Liveness.ALIVE));
  }

  /** A clock that stepped back before a restart gives the later incarnation a smaller number. */
  @Test
  void vmThatRestartsWithASmallerNumberIsAcceptedAsNew() {
    cluster.add(MemberCluster.member("r0", "r0-z0", "r0-z0-v1", 50, 10_001));
    cluster.publishList();
    cluster.advance(Duration.ofSeconds(10));
    cluster.add(MemberCluster.member("r0", "r0-z0", "r0-z0-v1", 20, 10_001));
    cluster.introduceAll();
    cluster.advance(Duration.ofSeconds(1));
    cluster.introduceAll();
    cluster.advance(Duration.ofSeconds(9));

    assertThat(cluster.member("r0-z0-v1").incarnation().number(), equalTo(51L));
    for (String viewer : List.of("r0-z0-v0", "r0-z1-v0", "r1-z0-v0")) {
      assertThat(cluster.status(viewer, "r0-z0-v1").member().incarnation().number(), equalTo(51L));
      assertThat(cluster.status(viewer, "r0-z0-v1").liveness(), equalTo(Liveness.ALIVE));
    }
  }

  /** Two lives with one number: the later one must not be taken for the leaving one. */
  @Test
  void vmThatRestartsWithTheNumberOfALeavingLifeAcceptsCallersAgain() {
    cluster.advance(Duration.ofSeconds(10));
    cluster.execute("r0-z0-v1", cluster.state("r0-z0-v1").leave(cluster.nowNanos()));
    cluster.advance(Duration.ofSeconds(3));
    cluster.add(MemberCluster.member("r0", "r0-z0", "r0-z0-v1", 1, 10_001));
    cluster.introduceAll();
    cluster.advance(Duration.ofSeconds(1));
    cluster.introduceAll();
    cluster.advance(Duration.ofSeconds(9));

    assertThat(cluster.member("r0-z0-v1").incarnation().number(), equalTo(2L));
    assertThat(cluster.status("r0-z0-v0", "r0-z0-v1").acceptsCallers(), is(true));
  }

  @Test
  void earlierIncarnationsAreForgotten() {
    for (int number = 2; number < 200; number++) {
      cluster.add(MemberCluster.member("r0", "r0-z0", "r0-z0-v1", number, 10_001));
      cluster.publishList();
      cluster.advance(Duration.ofSeconds(1));
    }
    cluster.advance(Duration.ofNanos(9 * MembershipSettings.defaults().goneAfterNanos()));

    assertThat(
        cluster.view("r0-z0-v0").statuses().stream()
            .filter(status -> status.member().vm().value().equals("r0-z0-v1"))
            .count(),
        is(1L));
  }

  @Test
  void leavingVmAcceptsNoCallersInAnyView() {
    cluster.advance(Duration.ofSeconds(10));
    cluster.execute("r1-z0-v2", cluster.state("r1-z0-v2").leave(cluster.nowNanos()));
    cluster.advance(Duration.ofSeconds(8));
    assertThat(cluster.view("r1-z0-v0").membersAcceptingCallers(), hasSize(23));
    assertThat(cluster.view("r0-z1-v0").membersAcceptingCallers(), hasSize(23));
  }

  @Test
  void partitionedRegionsAreSilentUntilThePartitionHeals() {
    cluster.advance(Duration.ofSeconds(10));
    cluster.setCutLinks((from, to) -> !from.region().equals(to.region()));
    cluster.advance(Duration.ofSeconds(15));
    assertThat(
        cluster.view("r0-z0-v0").silentZones(),
        equalTo(
            Set.of(
                new ZoneId("r1-z0"),
                new ZoneId("r1-z1"),
                new ZoneId("r2-z0"),
                new ZoneId("r2-z1"))));
    assertThat(cluster.view("r0-z0-v0").membersAcceptingCallers(), hasSize(8));
    cluster.setCutLinks((from, to) -> false);
    cluster.advance(Duration.ofSeconds(10));
    assertThat(cluster.view("r0-z0-v0").silentZones(), empty());
    assertThat(cluster.view("r0-z1-v3").membersAcceptingCallers(), hasSize(24));
  }

  @Test
  void activeConfigVersionIsKnownEverywhere() {
    cluster.advance(Duration.ofSeconds(10));
    cluster.runningStates().forEach(state -> state.setConfigVersion(new ConfigVersion(7)));
    cluster.advance(Duration.ofSeconds(8));
    boolean allKnown =
        cluster.view("r2-z0-v0").statuses().stream()
            .allMatch(status -> status.configVersion().equals(new ConfigVersion(7)));
    assertThat(allKnown, is(true));
  }

  @Test
  void twoVmsOfEachZonePollThePlatform() {
    cluster.advance(Duration.ofSeconds(10));
    long pollers =
        cluster.runningStates().stream()
            .filter(state -> state.isPoller(cluster.nowNanos()))
            .count();
    assertThat(pollers, equalTo(12L));
  }

  @Test
  void partitionedZoneKeepsItsOwnMembers() {
    cluster.advance(Duration.ofSeconds(10));
    cluster.setCutLinks((from, to) -> !from.zone().equals(to.zone()));
    cluster.advance(Duration.ofSeconds(30));
    assertThat(cluster.view("r0-z0-v0").aliveInOwnZone(), hasSize(4));
    assertThat(cluster.view("r0-z0-v0").membersAcceptingCallers(), not(empty()));
  }
}
