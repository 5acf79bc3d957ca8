package org.mustardstage.core.drain;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.mustardstage.core.drain.DrainManifests.endpoint;
import static org.mustardstage.core.drain.DrainManifests.manifest;
import static org.mustardstage.core.drain.DrainManifests.ofEndpoint;
import static org.mustardstage.core.drain.DrainManifests.ofZone;

import java.util.HashSet;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.id.DrainId;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.manifest.Drain;
import org.mustardstage.core.manifest.DrainTarget;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.core.manifest.Manifest;

/**
 * Checks that an endpoint drains exactly if the manifest, the VM list or the endpoint itself says
 * so.
 */
class DrainPlanTest {
  @Test
  void drainsNothingByDefault() {
    assertThat(plan(manifest()).endpoints().keySet(), empty());
  }

  @Test
  void drainsAnEndpointNamedByTheManifest() {
    DrainPlan plan = plan(manifest(ofEndpoint("east-a-0")));
    assertThat(plan.endpoints().keySet(), contains(endpoint("east-a-0")));
    assertThat(plan.causesOf(endpoint("east-a-0")), contains(DrainCause.MANIFEST));
  }

  @Test
  void drainsAllEndpointsOfADrainedZone() {
    DrainPlan plan = plan(manifest(ofZone("east-a")));
    assertThat(
        plan.endpoints().keySet(), containsInAnyOrder(endpoint("east-a-0"), endpoint("east-a-1")));
  }

  @Test
  void drainsAnEndpointThatOnlyOneSourceNames() {
    Set<EndpointId> listed = Set.of(endpoint("east-a-0"));
    Set<EndpointId> reported = Set.of(endpoint("east-a-1"));
    DrainPlan plan = DrainPlan.of(manifest(), listed, reported::contains);
    assertThat(plan.causesOf(endpoint("east-a-0")), contains(DrainCause.VM_LIST));
    assertThat(plan.causesOf(endpoint("east-a-1")), contains(DrainCause.OWN_REPORT));
    assertThat(plan.isDraining(endpoint("east-b-0")), is(false));
  }

  @Test
  void drainsAnEntryVmWithoutDrainingEndpoints() {
    Drain drain = new Drain(new DrainId("d"), new DrainTarget.OfEntryVm(new VmId("vm-1")));
    DrainPlan plan = plan(manifest(drain));
    assertThat(plan.isDraining(new VmId("vm-1")), is(true));
    assertThat(plan.isDraining(new VmId("vm-2")), is(false));
    assertThat(plan.endpoints().keySet(), empty());
  }

  @Property(tries = 200, seed = "4601")
  void drainsExactlyTheEndpointsThatAnySourceNames(
      @ForAll @IntRange(max = 255) int listedBits, @ForAll @IntRange(max = 255) int reportedBits) {
    Manifest manifest = manifest(ofZone("west-b"));
    Set<EndpointId> listed = new HashSet<>();
    Set<EndpointId> reported = new HashSet<>();
    Set<EndpointId> expected = new HashSet<>();
    int bit = 1;
    for (Endpoint endpoint : manifest.services().getFirst().endpoints()) {
      boolean isListed = (listedBits & bit) != 0;
      boolean isReported = (reportedBits & bit) != 0;
      if (isListed) {
        listed.add(endpoint.id());
      }
      if (isReported) {
        reported.add(endpoint.id());
      }
      if (isListed || isReported || endpoint.zone().value().equals("west-b")) {
        expected.add(endpoint.id());
      }
      bit <<= 1;
    }
    DrainPlan plan = DrainPlan.of(manifest, listed, reported::contains);
    assertThat(plan.endpoints().keySet(), is(expected));
  }

  private static DrainPlan plan(Manifest manifest) {
    return DrainPlan.of(manifest, Set.of(), endpoint -> false);
  }
}
