package org.mustardstage.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.gateway.RoutingRule;
import org.mustardstage.core.gateway.WeightedService;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.TenantName;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.member.Member;
import org.mustardstage.core.member.MemberStatus;
import org.mustardstage.core.member.MemberView;
import org.mustardstage.core.member.PeerRelease;
import org.mustardstage.core.tenant.Tenant;

/** Guards the choice of the VM that serves for one that is cut off from the endpoints. */
class RelaySelectorTest {
  private static final int VMS_PER_ZONE = 50;
  private static final RegionId NORTH = new RegionId("north");
  private static final RegionId SOUTH = new RegionId("south");
  private static final ZoneId NORTH_A = new ZoneId("north-a");
  private static final ZoneId NORTH_B = new ZoneId("north-b");
  private static final ZoneId SOUTH_A = new ZoneId("south-a");
  private static final RoutingRule ANYWHERE = rule(Set.of());

  private final List<Member> members = new ArrayList<>();
  private final RelaySelector selector =
      new RelaySelector(new VmId("north-a-0"), new SplittableRandom(7));

  private static RoutingRule rule(Set<RegionId> regions) {
    return new RoutingRule(
        "rule",
        "/",
        /* idempotent= */ true,
        500,
        1,
        true,
        List.of(new WeightedService(new ServiceName("orders"), 1)),
        2_000,
        3,
        ImmutableSet.copyOf(regions));
  }

  private void addZone(ZoneId zone, RegionId region, int cutOffVms) {
    for (int i = 0; i < VMS_PER_ZONE; i++) {
      HostAndPort address = new HostAndPort("10.0.0.1", 80);
      members.add(
          new Member(
              new VmIncarnation(new VmId(zone + "-" + i), 1),
              zone,
              region,
              address,
              address,
              address,
              /* leaving= */ false,
              420,
              i < cutOffVms,
              PeerRelease.CURRENT));
    }
  }

  private void showMembers(Set<ZoneId> silentZones) {
    selector.setMembers(
        new MemberView(
            members.getFirst(),
            members.stream()
                .map(
                    member ->
                        new MemberStatus(
                            member, MemberStatus.Liveness.ALIVE, false, ConfigVersion.NONE))
                .toList(),
            silentZones));
  }

  private Optional<Member> choose(RoutingRule rule) {
    return selector.choose(0, rule, Optional.empty(), Set.of());
  }

  @Test
  void requestsOfACutZoneAreSpreadOverTheRegion() {
    addZone(NORTH_A, NORTH, VMS_PER_ZONE - 1);
    addZone(NORTH_B, NORTH, 0);
    addZone(SOUTH_A, SOUTH, 0);
    showMembers(Set.of());
    Map<VmId, Integer> relayed = new HashMap<>();
    for (int i = 0; i < 500; i++) {
      Member chosen = choose(ANYWHERE).orElseThrow();
      assertThat(chosen.region(), is(NORTH));
      assertThat(chosen.cutOff(), is(false));
      selector.recordSent(chosen.vm());
      relayed.merge(chosen.vm(), 1, Integer::sum);
    }

    assertThat(relayed.size(), is(greaterThan(VMS_PER_ZONE - 5)));
    int mean = 500 / (VMS_PER_ZONE + 1);
    assertThat(
        relayed.values().stream().mapToInt(count -> count).max().orElseThrow(),
        is(lessThanOrEqualTo(2 * mean)));
  }

  @Test
  void otherRegionsServeWhenTheWholeRegionIsCutOff() {
    addZone(NORTH_A, NORTH, VMS_PER_ZONE);
    addZone(SOUTH_A, SOUTH, 0);
    showMembers(Set.of());

    assertThat(choose(ANYWHERE).orElseThrow().region(), is(SOUTH));
  }

  @Test
  void requestStaysInTheRegionsOfItsTenantAndOfItsRule() {
    addZone(NORTH_A, NORTH, VMS_PER_ZONE);
    addZone(SOUTH_A, SOUTH, 0);
    showMembers(Set.of());

    assertThat(chooseFor(ANYWHERE, Set.of(SOUTH)).orElseThrow().region(), is(SOUTH));
    assertThat(chooseFor(ANYWHERE, Set.of(NORTH)), is(Optional.empty()));
    assertThat(chooseFor(rule(Set.of(NORTH)), Set.of(SOUTH)), is(Optional.empty()));
  }

  @Test
  void requestOfATenantIsNotRelayedToAReleaseThatKnowsNoTenants() {
    addZone(NORTH_A, NORTH, VMS_PER_ZONE - 1);
    Member last = members.removeLast();
    members.add(
        new Member(
            last.incarnation(),
            last.zone(),
            last.region(),
            last.peerAddress(),
            last.trafficAddress(),
            last.adminAddress(),
            last.leaving(),
            last.milliCores(),
            last.cutOff(),
            PeerRelease.API_KEYS - 1));
    showMembers(Set.of());

    assertThat(chooseFor(ANYWHERE, Set.of()), is(Optional.empty()));
    assertThat(choose(ANYWHERE).isPresent(), is(true));
  }

  private Optional<Member> chooseFor(RoutingRule rule, Set<RegionId> homes) {
    Tenant tenant =
        new Tenant(new TenantName("mill"), OptionalInt.empty(), homes, Optional.empty());
    return selector.choose(0, rule, Optional.of(tenant), Set.of());
  }

  @Test
  void requestStaysInTheRegionsOfItsRule() {
    addZone(NORTH_A, NORTH, VMS_PER_ZONE);
    addZone(SOUTH_A, SOUTH, 0);
    showMembers(Set.of());
    assertThat(choose(rule(Set.of(NORTH))), is(Optional.empty()));

    addZone(NORTH_B, NORTH, 0);
    showMembers(Set.of());
    assertThat(choose(rule(Set.of(SOUTH))).orElseThrow().region(), is(SOUTH));
    assertThat(choose(rule(Set.of(NORTH))).orElseThrow().zone(), is(NORTH_B));
  }

  @Test
  void nobodyIsChosenWhenAllAreCutOffOrSilent() {
    addZone(NORTH_A, NORTH, VMS_PER_ZONE);
    addZone(SOUTH_A, SOUTH, 0);
    showMembers(Set.of(SOUTH_A));

    assertThat(choose(ANYWHERE), is(Optional.empty()));
  }

  @Test
  void vmThatFailedIsAvoidedForAWhile() {
    addZone(NORTH_A, NORTH, VMS_PER_ZONE - 1);
    showMembers(Set.of());
    Member only = choose(ANYWHERE).orElseThrow();
    selector.recordFailed(0, only.vm());

    assertThat(choose(ANYWHERE), is(Optional.empty()));
    assertThat(
        selector.choose(TimeUnit.SECONDS.toNanos(3), ANYWHERE, Optional.empty(), Set.of()),
        is(not(Optional.empty())));
  }

  @Test
  void vmThatWasTriedIsNotChosenAgain() {
    addZone(NORTH_A, NORTH, VMS_PER_ZONE - 1);
    showMembers(Set.of());
    VmId only = choose(ANYWHERE).orElseThrow().vm();

    assertThat(selector.choose(0, ANYWHERE, Optional.empty(), Set.of(only)), is(Optional.empty()));
  }
}
