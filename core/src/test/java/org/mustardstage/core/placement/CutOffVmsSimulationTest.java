package org.mustardstage.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;

/**
 * Simulates hundreds of VMs of which some lose their links to all endpoints, while a request ends
 * the endpoints that run it.
 */
class CutOffVmsSimulationTest {
  private static final int VMS = 300;
  private static final int ZONES = 6;
  private static final int ENDPOINTS_PER_ZONE = 20;
  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final long REFUSED_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(2);
  private static final long TIMED_OUT_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
  private static final long CUT_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long RESTORED_NANOS = TimeUnit.SECONDS.toNanos(10);
  private static final long END_NANOS = TimeUnit.SECONDS.toNanos(12);

  /** From then on after the cut began, the VMs must know of it. */
  private static final long KNOWN_AFTER_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** What an endpoint bears that is still cold. */
  private static final int MAX_CHECKS_PER_SECOND = 17;

  /** New connections that a VM opens for requests, per second. */
  private static final double CONNECTIONS_PER_SECOND = 3;

  private static final RequestFingerprint HARMLESS = RequestFingerprint.of("/a", "", new byte[0]);
  private static final RequestFingerprint CRASHING = RequestFingerprint.of("/b", "", new byte[0]);

  private final SplittableRandom random = new SplittableRandom(11);
  private final List<RegisteredEndpoint> endpoints = new ArrayList<>();
  private final List<Vm> vms = new ArrayList<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final CrashingRequests collector = new CrashingRequests(/* minReporters= */ 2);
  private final List<RequestBlock> blocks = new ArrayList<>();

  /** The health checks that arrived, by endpoint and second. */
  private final Map<String, Integer> healthChecks = new HashMap<>();

  private record Event(long atNanos, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return Long.compare(atNanos, other.atNanos());
    }
  }

  private static final class Vm {
    private final EndpointReachability reachability;
    private final LossReports<LostAttempt> reports;
    private final CrashingRequests ownRequests = new CrashingRequests(/* minReporters= */ 1);
    private boolean linked = true;

    Vm(SplittableRandom random) {
      reachability = new EndpointReachability(random);
      reports = new LossReports<>(reachability);
    }
  }

  @ParameterizedTest
  @CsvSource({"1, true", "25, true", "49, false", "50, true", "50, false", "299, false"})
  void cutVmsKnowItAndBlockNoHarmlessRequest(int cutVms, boolean refused) {
    run(vm -> vm < cutVms, refused, /* deadEndpoints= */ 0);

    assertThat(
        blocks.stream().map(RequestBlock::fingerprint).toList(), is(ImmutableList.of(CRASHING)));
  }

  /** A zone and more of the endpoints end, and no VM is cut off. */
  @ParameterizedTest
  @CsvSource({"20, true", "60, false", "100, false"})
  void noVmTakesItselfToBeCutOffWhenManyEndpointsEnd(int deadEndpoints, boolean refused) {
    run(vm -> false, refused, deadEndpoints);
  }

  private void run(IntPredicate isCut, boolean refused, int deadEndpoints) {
    start();
    List<Long> cutOffCounts = new ArrayList<>();
    for (long now = 0; now < END_NANOS; now += STEP_NANOS) {
      long nowNanos = now;
      if (now == CUT_NANOS) {
        cut(nowNanos, isCut);
      }
      if (now == RESTORED_NANOS) {
        vms.forEach(vm -> vm.linked = true);
      }
      int dead = now >= CUT_NANOS ? deadEndpoints : 0;
      runEvents(nowNanos);
      vms.forEach(vm -> step(nowNanos, vm, refused, dead));
      if (now > CUT_NANOS + KNOWN_AFTER_NANOS && now < RESTORED_NANOS) {
        cutOffCounts.add(
            IntStream.range(0, VMS)
                .filter(i -> vms.get(i).reachability.isCutOff() != isCut.test(i))
                .count());
      }
    }

    assertThat(cutOffCounts.stream().filter(wrong -> wrong > 0).toList(), is(empty()));
    assertThat(vms.stream().filter(vm -> vm.reachability.isCutOff()).toList(), hasSize(0));
    assertThat(
        healthChecks.values().stream().max(Integer::compare).orElse(0),
        is(lessThanOrEqualTo(MAX_CHECKS_PER_SECOND)));
    assertThat(blocks.size(), is(lessThanOrEqualTo(1)));
  }

  private void start() {
    for (int i = 0; i < ZONES * ENDPOINTS_PER_ZONE; i++) {
      endpoints.add(
          new RegisteredEndpoint(
              new EndpointId("i-" + i),
              new ServiceName("orders"),
              new HostAndPort("10.0.0.1", 80),
              new ZoneId("zone-" + i / ENDPOINTS_PER_ZONE),
              9,
              /* draining= */ false,
              0,
              1));
    }
    for (int i = 0; i < VMS; i++) {
      Vm vm = new Vm(random.split());
      vm.reachability.setEndpoints(endpoints);
      vms.add(vm);
    }
  }

  /** Cuts VMs, which lose what they have in flight; the last VM loses a request that crashes. */
  private void cut(long nowNanos, IntPredicate isCut) {
    for (int i = 0; i < VMS; i++) {
      if (isCut.test(i)) {
        vms.get(i).linked = false;
        loseAtThreeEndpoints(nowNanos, vms.get(i), HARMLESS);
      }
    }
    loseAtThreeEndpoints(nowNanos, vms.getLast(), CRASHING);
  }

  private void loseAtThreeEndpoints(long nowNanos, Vm vm, RequestFingerprint fingerprint) {
    for (int i = 0; i < 3; i++) {
      RegisteredEndpoint endpoint = endpoints.get(random.nextInt(i * 40, (i + 1) * 40));
      vm.reachability.recordSuspicion(nowNanos);
      events.add(
          new Event(
              nowNanos + TIMED_OUT_AFTER_NANOS,
              () ->
                  vm.reports.add(
                      nowNanos, new LostAttempt(fingerprint, EndpointIncarnation.of(endpoint)))));
    }
  }

  private void runEvents(long nowNanos) {
    while (!events.isEmpty() && events.peek().atNanos() <= nowNanos) {
      events.poll().action().run();
    }
  }

  private void step(long nowNanos, Vm vm, boolean refused, int deadEndpoints) {
    List<RegisteredEndpoint> connects = new ArrayList<>(vm.reachability.takeProbes(nowNanos));
    if (vm.linked) {
      connects.forEach(
          endpoint ->
              healthChecks.merge(
                  endpoint.id() + "/" + TimeUnit.NANOSECONDS.toSeconds(nowNanos), 1, Integer::sum));
    }
    assertThat(nowNanos >= CUT_NANOS || connects.isEmpty(), is(true));
    double stepSeconds = STEP_NANOS / 1e9;
    if (!vm.reachability.isCutOff() && random.nextDouble() < CONNECTIONS_PER_SECOND * stepSeconds) {
      connects.add(endpoints.get(random.nextInt(endpoints.size())));
    }
    for (RegisteredEndpoint endpoint : connects) {
      boolean works = vm.linked && endpoints.indexOf(endpoint) >= deadEndpoints;
      if (works) {
        vm.reachability.recordAnswered(nowNanos);
      } else {
        events.add(
            new Event(
                nowNanos + (refused ? REFUSED_AFTER_NANOS : TIMED_OUT_AFTER_NANOS),
                () -> vm.reachability.recordFailed(nowNanos, endpoint)));
      }
    }
    if (vm.reachability.isCutOff()) {
      vm.reports.drop();
    }
    VmId id = new VmId("vm-" + vms.indexOf(vm));
    for (LostAttempt lost : vm.reports.takeDue()) {
      vm.ownRequests.recordLost(nowNanos, id, lost).ifPresent(blocks::add);
      collector.recordLost(nowNanos, id, lost).ifPresent(blocks::add);
    }
  }
}
