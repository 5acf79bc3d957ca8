package org.mustardstage.core.drain;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.instanceOf;
import static org.mustardstage.core.drain.DrainManifests.SERVICE;
import static org.mustardstage.core.drain.DrainManifests.endpoint;
import static org.mustardstage.core.drain.DrainManifests.manifest;
import static org.mustardstage.core.drain.DrainManifests.ofEndpoint;
import static org.mustardstage.core.drain.DrainManifests.ofZone;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.id.DrainId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.Drain;
import org.mustardstage.core.manifest.DrainTarget;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.PlaceLimit;

/**
 * Checks that drains which are each harmless but together leave a service too little capacity are
 * rejected.
 */
class DrainCapacityCheckTest {
  private static final ZoneId ZONE = new ZoneId("east-a");
  private static final VmId VM = new VmId("vm-1");

  @Test
  void acceptsDrainsThatLeaveHalfOfTheSlots() {
    assertThat(check(manifest(ofZone("east-a"), ofZone("west-a"))), empty());
  }

  @Test
  void rejectsDrainsThatTogetherLeaveTooFewSlots() {
    Manifest manifest = manifest(ofZone("east-a"), ofZone("west-a"), ofEndpoint("east-b-0"));
    assertThat(
        check(manifest),
        contains(
            new DrainProblem.TooFewSlotsLeft(
                SERVICE,
                12,
                16,
                List.of(
                    new DrainId("drain-east-a"),
                    new DrainId("drain-west-a"),
                    new DrainId("drain-east-b-0")))));
  }

  @Test
  void countsAnEndpointNamedByTwoDrainsOnce() {
    Manifest manifest = manifest(ofZone("east-a"), ofZone("west-a"), ofEndpoint("east-a-0"));
    assertThat(check(manifest), empty());
  }

  @Test
  void countsEndpointsThatAreAlreadyDraining() {
    Manifest manifest = manifest(ofZone("east-a"), ofZone("west-a"));
    DrainSituation situation = new DrainSituation(Set.of(endpoint("west-b-0")), Map.of(), Map.of());
    assertThat(
        DrainCapacityCheck.check(manifest, situation),
        hasItem(instanceOf(DrainProblem.TooFewSlotsLeft.class)));
  }

  @Test
  void rejectsADrainThatLeavesTooFewSlotsForTheDemand() {
    Manifest manifest = manifest(ofZone("east-a"));
    assertThat(DrainCapacityCheck.check(manifest, withSlotsInUse(19.0)), empty());
    assertThat(
        DrainCapacityCheck.check(manifest, withSlotsInUse(20.0)),
        hasItem(instanceOf(DrainProblem.TooFewSlotsLeft.class)));
  }

  @Test
  void rejectsADrainThatLeavesRegionsWithTooSmallShares() {
    List<PlaceLimit> limits = List.of(new PlaceLimit(new RegionId("west"), 0.6, 100));
    Manifest manifest = manifest(limits, ofZone("east-a"), ofZone("east-b"));
    assertThat(check(manifest), contains(new DrainProblem.TooSmallShareLeft(SERVICE, 0.6)));
  }

  @Test
  void reportsUnknownTargets() {
    assertThat(
        check(manifest(ofEndpoint("nowhere"), ofZone("north-a"))),
        contains(
            new DrainProblem.UnknownEndpoint(new DrainId("drain-nowhere"), endpoint("nowhere")),
            new DrainProblem.UnknownZone(new DrainId("drain-north-a"), new ZoneId("north-a"))));
  }

  @Test
  void rejectsTwoDrainsOfOneTarget() {
    Drain again = new Drain(new DrainId("again"), ofZone("east-a").target());
    assertThat(
        check(manifest(ofZone("east-a"), again)),
        contains(new DrainProblem.DuplicateTarget(new DrainId("drain-east-a"), again.id())));
  }

  @Test
  void rejectsADrainOfTheLastEntryVmOfAZone() {
    Manifest manifest = manifest(new Drain(new DrainId("d"), new DrainTarget.OfEntryVm(VM)));
    assertThat(
        DrainCapacityCheck.check(manifest, withEntryVms(VM)),
        contains(new DrainProblem.NoEntryVmLeft(ZONE)));
    assertThat(DrainCapacityCheck.check(manifest, withEntryVms(VM, new VmId("vm-2"))), empty());
  }

  @Test
  void reportsAnEntryVmThatIsNotInTheList() {
    Drain drain = new Drain(new DrainId("d"), new DrainTarget.OfEntryVm(new VmId("vm-9")));
    assertThat(
        DrainCapacityCheck.check(manifest(drain), withEntryVms(VM)),
        contains(new DrainProblem.UnknownEntryVm(new DrainId("d"), new VmId("vm-9"))));
  }

  private static List<DrainProblem> check(Manifest manifest) {
    return DrainCapacityCheck.check(manifest, DrainSituation.UNKNOWN);
  }

  private static DrainSituation withSlotsInUse(double slots) {
    return new DrainSituation(Set.of(), Map.of(SERVICE, slots), Map.of());
  }

  private static DrainSituation withEntryVms(VmId... vms) {
    return new DrainSituation(Set.of(), Map.of(), Map.of(ZONE, Set.of(vms)));
  }
}
