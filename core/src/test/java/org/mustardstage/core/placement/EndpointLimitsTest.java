package org.mustardstage.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.google.common.collect.ImmutableSet;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mustardstage.core.gateway.RegisteredEndpoint;

/**
 * Guards against VMs that together send an endpoint more than it takes, and against an endpoint
 * that is left idle because of a limit that has ended.
 */
class EndpointLimitsTest {
  private static int allowedInWindow(double requestsPerSecond) {
    return (int) (1.5 * requestsPerSecond * 4) + 5;
  }

  @ParameterizedTest
  @CsvSource({"23, 1", "23, 1.5", "100, 4", "300, 0.3", "300, 1", "300, 20", "300, 0"})
  void vmsTogetherStayWithinTheLimit(int vmCount, double requestsPerSecond) {
    LimitSimulation simulation = new LimitSimulation(vmCount, vmCount);
    simulation.run(10);
    simulation.limit = Optional.of(requestsPerSecond);
    simulation.run(60);

    assertThat(
        simulation.largestWindow(), is(lessThanOrEqualTo(allowedInWindow(requestsPerSecond))));
  }

  @Test
  void limitIsUsedByTheVmsTogether() {
    LimitSimulation simulation = new LimitSimulation(1, 300);
    simulation.run(10);
    simulation.limit = Optional.of(2.0);
    simulation.run(10);
    long sinceNanos = simulation.nowNanos();
    simulation.run(20);

    assertThat(simulation.arrivalsSince(sinceNanos), is(greaterThanOrEqualTo(20)));
  }

  /** VMs are killed, start and are cut off in series that overlap, and reports are lost. */
  @ParameterizedTest
  @ValueSource(
      longs = {
        1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24
      })
  void vmsThatStartAreCutOffOrHearLateStayWithinTheLimit(long seed) {
    Random random = new Random(seed);
    int vmCount = new int[] {6, 23, 100, 300}[random.nextInt(4)];
    double requestsPerSecond = new double[] {0.5, 1, 1.5, 3, 10}[random.nextInt(5)];
    LimitSimulation simulation = new LimitSimulation(seed, vmCount);
    simulation.reportLoss = random.nextDouble() * 0.5;
    simulation.run(10);
    simulation.limit = Optional.of(requestsPerSecond);
    for (int i = 0; i < 10; i++) {
      switch (random.nextInt(4)) {
        case 0 ->
            simulation.vms().stream()
                .filter(vm -> random.nextInt(3) == 0)
                .forEach(LimitSimulation.SimulatedVm::kill);
        case 1 ->
            simulation.vms().stream()
                .filter(vm -> random.nextInt(2) == 0)
                .forEach(LimitSimulation.SimulatedVm::start);
        case 2 -> simulation.cutZones = ImmutableSet.of(PlacementFixtures.OTHER_ZONE);
        default -> simulation.cutZones = ImmutableSet.of();
      }
      simulation.run(1 + 6 * random.nextDouble());
    }

    assertThat(
        simulation.largestWindow(), is(lessThanOrEqualTo(allowedInWindow(requestsPerSecond))));
  }

  @Test
  void allVmsUseTheEndpointAgainWhenTheLimitEnds() {
    LimitSimulation simulation = new LimitSimulation(1, 100);
    simulation.run(10);
    simulation.limit = Optional.of(1.0);
    simulation.run(10);
    simulation.limit = Optional.empty();
    simulation.run(5);

    assertThat(simulation.countByPermission(), is(Map.of(true, 100)));
  }

  /** Callers are at some VMs only, and the one that may send to the endpoint has none. */
  @Test
  void limitThatNobodySeesEndIsFoundToHaveEnded() {
    LimitSimulation simulation = new LimitSimulation(1, 30);
    simulation.run(10);
    simulation.limit = Optional.of(1.0);
    simulation.run(10);
    simulation.vms().forEach(vm -> vm.setDemand(false));
    simulation.run(1);
    simulation.limit = Optional.empty();
    simulation.vms().stream().filter(vm -> !vm.mayUseLimit()).forEach(vm -> vm.setDemand(true));
    simulation.run(60);

    assertThat(simulation.countByPermission(), is(Map.of(true, 30)));
  }

  /** The turns of all VMs to try pass within 20 s and four seconds a VM. */
  @Test
  void limitThatHasEndedIsFoundByEachVmIfNoReportArrives() {
    LimitSimulation simulation = new LimitSimulation(1, 30);
    simulation.run(10);
    simulation.limit = Optional.of(1.0);
    simulation.run(10);
    simulation.reportLoss = 1;
    simulation.limit = Optional.empty();
    simulation.run(20 + 4 * 30 + 1);

    assertThat(simulation.countByPermission(), is(Map.of(true, 30)));
  }

  /** A VM that was cut off tells of the limit that the endpoint's earlier run had named. */
  @Test
  void lateNewsOfAnEarlierRunDoesNotEndTheLimitOfTheLaterOne() {
    RegisteredEndpoint earlier =
        PlacementFixtures.endpoint("limited", PlacementFixtures.OWN_ZONE, 9, 1);
    RegisteredEndpoint later =
        PlacementFixtures.endpoint("limited", PlacementFixtures.OWN_ZONE, 9, 2);
    EndpointLimits limits = PlacementFixtures.endpointLimits();
    limits.applyReport(0, limit(later, Optional.of(1.0)));

    limits.applyReport(0, limit(earlier, Optional.of(1.0)));
    assertThat(limits.allowsRequest(1, later), is(false));

    limits.applyReport(0, limit(earlier, Optional.empty()));
    assertThat(limits.allowsRequest(1, later), is(false));

    limits.applyReport(0, limit(later, Optional.empty()));
    assertThat(limits.allowsRequest(1, later), is(true));
  }

  private static EndpointLimit limit(
      RegisteredEndpoint endpoint, Optional<Double> requestsPerSecond) {
    return new EndpointLimit(EndpointIncarnation.of(endpoint), requestsPerSecond);
  }

  /** The VMs try one after another, so that the trials themselves stay within the limit. */
  @Test
  void trialsOfVmsThatHearNothingStayWithinTheLimit() {
    LimitSimulation simulation = new LimitSimulation(1, 300);
    simulation.run(10);
    simulation.limit = Optional.of(1.0);
    simulation.run(5);
    simulation.reportLoss = 1;
    simulation.run(120);

    assertThat(simulation.largestWindow(), is(lessThanOrEqualTo(allowedInWindow(1))));
  }
}
