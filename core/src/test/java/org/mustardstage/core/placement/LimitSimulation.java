package org.mustardstage.core.placement;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.member.Member;
import org.mustardstage.core.member.MemberStatus;
import org.mustardstage.core.member.MemberView;
import org.mustardstage.core.member.PeerRelease;

/**
 * Simulates VMs that all want to send to one endpoint with a limit. Each VM learns of the others'
 * starts, ends and cuts late, and reports arrive late or not at all.
 */
final class LimitSimulation {
  private static final long STEP_NANOS = 20_000_000L;
  private static final long VIEW_STEP_NANOS = 500_000_000L;
  private static final long RESPONSE_NANOS = 200_000_000L;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  /** From then on after a VM has passed on a response that names the limit, it is bound by it. */
  private static final long KNOWN_AFTER_NANOS = 500_000_000L;

  private static final long WINDOW_NANOS = 4 * NANOS_PER_SECOND;
  private static final ZoneId[] ZONES = {
    PlacementFixtures.OWN_ZONE, PlacementFixtures.OTHER_ZONE, PlacementFixtures.REMOTE_ZONE
  };

  private final Random random;
  private final RegisteredEndpoint endpoint =
      PlacementFixtures.endpoint("limited", PlacementFixtures.OWN_ZONE, 9);
  private final List<SimulatedVm> vms = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>((a, b) -> Long.compare(a.atNanos(), b.atNanos()));
  private final List<Long> boundArrivalNanos = new ArrayList<>();
  private final List<Long> arrivalNanos = new ArrayList<>();
  private long nowNanos;

  /** The limit that the endpoint names; empty if none. */
  Optional<Double> limit = Optional.empty();

  /** The probability that a report between VMs is lost. */
  double reportLoss;

  /** The probability that a VM has a request in a step of 20 ms. */
  double demand = 0.3;

  /** The zones that are cut off from all others. */
  ImmutableSet<ZoneId> cutZones = ImmutableSet.of();

  private record Event(long atNanos, Runnable action) {}

  /** A state of the deployment, which the VMs learn of late. */
  private record Snapshot(long atNanos, BitSet running, ImmutableSet<ZoneId> cutZones) {
    private static final Snapshot NONE = new Snapshot(-1, new BitSet(), ImmutableSet.of());

    boolean isSameState(Snapshot other) {
      return running.equals(other.running) && cutZones.equals(other.cutZones);
    }
  }

  private final List<Snapshot> snapshots = new ArrayList<>();

  /** A VM in one run after another. */
  final class SimulatedVm {
    final int index;
    final ZoneId zone;
    final RegionId region;
    private final long viewLagNanos = (long) ((0.5 + 2.5 * random.nextDouble()) * NANOS_PER_SECOND);
    private EndpointLimits limits;
    private long startedNanos;
    private boolean running;
    private boolean hasDemand = true;
    private long boundFromNanos = Long.MAX_VALUE;
    private int run;
    private Optional<Snapshot> viewed = Optional.empty();

    SimulatedVm(int index) {
      this.index = index;
      this.zone = ZONES[index % ZONES.length];
      this.region = PlacementFixtures.roundTrips().regionOf(zone);
      start();
    }

    void start() {
      run++;
      running = true;
      startedNanos = nowNanos;
      boundFromNanos = Long.MAX_VALUE;
      viewed = Optional.empty();
      limits =
          new EndpointLimits(
              member().vm(), zoneId -> PlacementFixtures.roundTrips().regionOf(zoneId), nowNanos);
    }

    void kill() {
      running = false;
    }

    void setDemand(boolean value) {
      hasDemand = value;
    }

    /** Returns whether the VM is the one that may use the limit. */
    boolean mayUseLimit() {
      return limits.shareOf(nowNanos, endpoint) > 0;
    }

    private Member member() {
      return new Member(
          new VmIncarnation(new VmId("vm-" + index), Math.max(1, run)),
          zone,
          region,
          new HostAndPort("10.0.0.1", 1),
          new HostAndPort("10.0.0.1", 2),
          new HostAndPort("10.0.0.1", 3),
          /* leaving= */ false,
          420,
          /* cutOff= */ false,
          PeerRelease.CURRENT);
    }

    private void updateView() {
      boolean knowsOthers = nowNanos - startedNanos > viewLagNanos;
      Snapshot known = knowsOthers ? snapshotAt(nowNanos - viewLagNanos) : Snapshot.NONE;
      if (viewed.filter(known::equals).isPresent()) {
        return;
      }
      viewed = Optional.of(known);
      List<MemberStatus> statuses = new ArrayList<>();
      for (SimulatedVm other : vms) {
        boolean alive =
            other == this
                || (knowsOthers
                    && known.running().get(other.index)
                    && isConnected(zone, other.zone, known.cutZones()));
        if (alive || knowsOthers) {
          statuses.add(
              new MemberStatus(
                  other.member(),
                  alive ? MemberStatus.Liveness.ALIVE : MemberStatus.Liveness.DEAD,
                  /* provenGone= */ false,
                  ConfigVersion.NONE));
        }
      }
      limits.setMembers(nowNanos, new MemberView(member(), statuses, ImmutableSet.of()));
    }

    private void step() {
      if (!running || !hasDemand || random.nextDouble() >= demand) {
        return;
      }
      if (!limits.allowsRequest(nowNanos, endpoint)) {
        return;
      }
      limits.recordSent(nowNanos, endpoint);
      arrivalNanos.add(nowNanos);
      if (nowNanos >= boundFromNanos) {
        boundArrivalNanos.add(nowNanos);
      }
      long sentNanos = nowNanos;
      int sentRun = run;
      at(
          nowNanos + RESPONSE_NANOS,
          () -> {
            if (running && run == sentRun) {
              onResponse(sentNanos);
            }
          });
    }

    private void onResponse(long sentNanos) {
      LimitNotice notice =
          limit.isPresent() ? new LimitNotice.Limited(limit.get()) : LimitNotice.UNLIMITED;
      if (limit.isPresent() && boundFromNanos == Long.MAX_VALUE) {
        boundFromNanos = nowNanos + KNOWN_AFTER_NANOS;
      }
      limits.recordResponse(nowNanos, sentNanos, endpoint, notice).ifPresent(this::deliver);
    }

    private void deliver(EndpointLimits.Report report) {
      for (SimulatedVm other : vms) {
        boolean hears = report.toAllRegions() || other.region.equals(region);
        if (other == this || !hears || random.nextDouble() < reportLoss) {
          continue;
        }
        at(
            nowNanos + (long) (random.nextDouble() * 0.2 * NANOS_PER_SECOND),
            () -> {
              if (other.running && isConnected(zone, other.zone, cutZones)) {
                other.limits.applyReport(nowNanos, report.limit());
              }
            });
      }
    }
  }

  LimitSimulation(long seed, int vmCount) {
    random = new Random(seed);
    for (int i = 0; i < vmCount; i++) {
      vms.add(new SimulatedVm(i));
    }
  }

  List<SimulatedVm> vms() {
    return vms;
  }

  Random random() {
    return random;
  }

  long nowNanos() {
    return nowNanos;
  }

  private static boolean isConnected(ZoneId first, ZoneId second, ImmutableSet<ZoneId> cutZones) {
    return first.equals(second) || (!cutZones.contains(first) && !cutZones.contains(second));
  }

  private Snapshot snapshotAt(long atNanos) {
    Snapshot found = snapshots.getFirst();
    for (Snapshot each : snapshots) {
      if (each.atNanos() <= atNanos) {
        found = each;
      }
    }
    return found;
  }

  private void at(long atNanos, Runnable action) {
    events.add(new Event(atNanos, action));
  }

  /** Runs for {@code seconds}. */
  void run(double seconds) {
    long endNanos = nowNanos + (long) (seconds * NANOS_PER_SECOND);
    while (nowNanos < endNanos) {
      if (nowNanos % VIEW_STEP_NANOS == 0) {
        BitSet running = new BitSet();
        vms.forEach(vm -> running.set(vm.index, vm.running));
        Snapshot snapshot = new Snapshot(nowNanos, running, cutZones);
        if (snapshots.isEmpty() || !snapshots.getLast().isSameState(snapshot)) {
          snapshots.add(snapshot);
        }
        vms.stream().filter(vm -> vm.running).forEach(SimulatedVm::updateView);
      }
      while (!events.isEmpty() && events.peek().atNanos() <= nowNanos) {
        events.poll().action().run();
      }
      vms.forEach(SimulatedVm::step);
      nowNanos += STEP_NANOS;
    }
  }

  /** Returns the largest number of requests within 4 s that came from VMs bound by the limit. */
  int largestWindow() {
    int largest = 0;
    int first = 0;
    for (int last = 0; last < boundArrivalNanos.size(); last++) {
      while (boundArrivalNanos.get(last) - boundArrivalNanos.get(first) > WINDOW_NANOS) {
        first++;
      }
      largest = Math.max(largest, last - first + 1);
    }
    return largest;
  }

  /** Returns the number of requests that arrived since {@code sinceNanos}. */
  int arrivalsSince(long sinceNanos) {
    return (int) arrivalNanos.stream().filter(nanos -> nanos >= sinceNanos).count();
  }

  /** Returns how many VMs may send to the endpoint now. */
  Map<Boolean, Integer> countByPermission() {
    Map<Boolean, Integer> counts = new HashMap<>();
    vms.stream()
        .filter(vm -> vm.running)
        .forEach(vm -> counts.merge(vm.limits.allowsRequest(nowNanos, endpoint), 1, Integer::sum));
    return counts;
  }
}
