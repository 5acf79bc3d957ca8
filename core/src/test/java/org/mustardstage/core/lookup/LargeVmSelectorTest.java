package org.mustardstage.core.lookup;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.member.Member;
import org.mustardstage.core.member.PeerRelease;

/**
 * Checks that small VMs are skipped only while enough large ones are available in their zone.
 * Skipping too many would overload the large VMs or leave callers without a VM.
 */
class LargeVmSelectorTest {
  @Test
  void allVmsOfEqualSizeAreSelected() {
    List<Member> vms = vms(4, 420, 0, 0);

    assertThat(LargeVmSelector.select(vms), is(vms));
  }

  @Test
  void smallVmsAreSkippedWhileLargeOnesHaveEnoughCapacity() {
    assertThat(LargeVmSelector.select(vms(2, 1_500, 11, 210)), is(vms(2, 1_500, 0, 0)));
  }

  @Test
  void smallVmsAreSelectedWhenOnlyOneLargeVmIsLeft() {
    assertThat(LargeVmSelector.select(vms(1, 1_500, 11, 210)), hasSize(12));
  }

  @Test
  void smallVmsAreSelectedWhenTheyHoldMostOfTheCapacity() {
    assertThat(LargeVmSelector.select(vms(2, 1_000, 20, 210)), hasSize(22));
  }

  @Test
  void eachZoneIsSelectedIndependently() {
    List<Member> vms = new ArrayList<>(vms(2, 1_500, 11, 210));
    Member onlyVmOfZone = vm("alone", 210, "other");
    vms.add(onlyVmOfZone);

    List<Member> chosen = LargeVmSelector.selectPerZone(vms);

    assertThat(chosen, hasSize(3));
    assertThat(chosen, hasItem(onlyVmOfZone));
  }

  @Test
  void emptyListGivesEmptySelection() {
    assertThat(LargeVmSelector.select(List.of()), is(empty()));
  }

  private static List<Member> vms(int large, int largeMilliCores, int small, int smallMilliCores) {
    List<Member> vms = new ArrayList<>();
    for (int i = 0; i < large; i++) {
      vms.add(vm("large-" + i, largeMilliCores));
    }
    for (int i = 0; i < small; i++) {
      vms.add(vm("small-" + i, smallMilliCores));
    }
    return vms;
  }

  private static Member vm(String name, int milliCores) {
    return vm(name, milliCores, "zone");
  }

  private static Member vm(String name, int milliCores, String zone) {
    HostAndPort address = new HostAndPort("10.0.0.1", 1);
    return new Member(
        new VmIncarnation(new VmId(name), 1),
        new ZoneId(zone),
        new RegionId("region"),
        address,
        address,
        address,
        /* leaving= */ false,
        milliCores,
        /* cutOff= */ false,
        PeerRelease.CURRENT);
  }
}
