package org.mustardstage.core.permit;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.ZoneId;

/** Runs one cluster under load and faults that follow from a seed, then heals it. */
public final class FaultSchedule {
  static final long MILLIS = 1_000_000L;
  static final PermitSettings SETTINGS = PermitSettings.forLease(2_000 * MILLIS);
  static final long PAUSE_NANOS = 5_000 * MILLIS;
  private static final long FAULTS_NANOS = 7_000 * MILLIS;
  private static final long STEP_NANOS = 400 * MILLIS;
  private static final long HEAL_NANOS = 5_600 * MILLIS;

  private final RandomGenerator random;
  private final VirtualCluster cluster;
  private final List<String> log = new ArrayList<>();
  private final ZoneId first = new ZoneId("zone-a");
  private final ZoneId second = new ZoneId("zone-b");
  private boolean underLoad = true;

  /** Prepares the schedule of a seed. */
  public FaultSchedule(long seed, Supplier<PermitGuards> guards) {
    random = new SplittableRandom(seed * 31 + 7);
    cluster = new VirtualCluster(seed, SETTINGS, guards);
    cluster.activateLimits(
        List.of(limit("desk-1", first, 3), limit("desk-2", first, 4), limit("desk-3", second, 2)));
  }

  private static Limit limit(String endpoint, ZoneId zone, int permits) {
    return new Limit(LimitId.slotsOf(new EndpointId(endpoint)), zone, permits);
  }

  /** Returns the cluster. */
  public VirtualCluster cluster() {
    return cluster;
  }

  /** Returns what was done to the cluster. */
  public List<String> log() {
    return log;
  }

  /** Runs load and faults. */
  public FaultSchedule run() {
    for (int index = 0; index < 3; index++) {
      cluster.start(new VmId("a" + index), first);
    }
    cluster.start(new VmId("b0"), second);
    load();
    while (cluster.events().nowNanos() < FAULTS_NANOS && cluster.endpoints().violation() == null) {
      cluster.events().runUntil(cluster.events().nowNanos() + random.nextLong(2 * STEP_NANOS));
      inject();
    }
    return this;
  }

  /** Ends the faults, lets the load run on for a while, then ends it too. */
  public FaultSchedule heal() {
    note("heal");
    cluster.network().heal();
    cluster.store().heal();
    for (VmId id : cluster.vmIds()) {
      cluster.setWronglyDelisted(id, false);
      cluster.vm(id).resume();
      if (!cluster.vm(id).isRunning() || cluster.vm(id).status().permitsInUse() < 0) {
        cluster.start(id, cluster.vm(id).zone());
      }
    }
    cluster.events().runUntil(cluster.events().nowNanos() + HEAL_NANOS / 7);
    underLoad = false;
    cluster.events().runUntil(cluster.events().nowNanos() + HEAL_NANOS);
    return this;
  }

  private void load() {
    if (!underLoad) {
      return;
    }
    List<VirtualVm> vms = cluster.runningVms();
    if (!vms.isEmpty()) {
      VirtualVm vm = vms.get(random.nextInt(vms.size()));
      List<LimitId> limits = cluster.limits().stream().map(Limit::id).toList();
      long serviceNanos = (long) (-Math.log(1 - random.nextDouble()) * 60 * MILLIS) + 1;
      long deadlineNanos = 50 * MILLIS + random.nextLong(700 * MILLIS);
      vm.sendRequest(limits, serviceNanos, deadlineNanos, random.nextDouble() < 0.05);
    }
    cluster.events().after(random.nextLong(12 * MILLIS), this::load);
  }

  private void note(String what) {
    log.add(cluster.events().nowNanos() / MILLIS + " ms: " + what);
  }

  private void inject() {
    List<VmId> names = cluster.vmIds();
    VmId name = names.get(random.nextInt(names.size()));
    VirtualVm vm = cluster.vm(name);
    switch (random.nextInt(13)) {
      case 0 -> crash(name);
      case 1, 2 -> restart(name, vm);
      case 3 -> pause(name, vm);
      case 4 -> cutOff(name, vm, true);
      case 5 -> cutOff(name, vm, false);
      case 6 -> split(vm);
      case 7 -> heal(vm);
      case 8 -> storeDown(random.nextBoolean());
      case 9 -> loseAnswers();
      case 10 -> messages();
      case 11 -> stop(name, vm);
      default -> resize();
    }
  }

  private void crash(VmId name) {
    note("crash " + name);
    cluster.crash(name);
  }

  private void restart(VmId name, VirtualVm vm) {
    note("restart " + name);
    cluster.crash(name);
    cluster.start(name, vm.zone());
  }

  private void pause(VmId name, VirtualVm vm) {
    long nanos = random.nextLong(PAUSE_NANOS);
    note("pause " + name + " for " + nanos / MILLIS + " ms");
    vm.pause(nanos);
  }

  private void cutOff(VmId name, VirtualVm vm, boolean isDropped) {
    note("cut off " + name + (isDropped ? ", dropped from the list" : ""));
    cluster.network().setIsolated(vm.self(), true);
    cluster.setWronglyDelisted(name, isDropped);
  }

  private void split(VirtualVm vm) {
    note("other side " + vm.self());
    cluster.network().setPartition(vm.self(), 1);
  }

  private void heal(VirtualVm vm) {
    note("connect " + vm.self());
    cluster.network().setIsolated(vm.self(), false);
    cluster.network().setPartition(vm.self(), 0);
    cluster.setWronglyDelisted(vm.self().vm(), false);
  }

  private void storeDown(boolean isDown) {
    note("store down: " + isDown);
    cluster.store().setDown(isDown);
  }

  private void loseAnswers() {
    double share = random.nextBoolean() ? 0 : random.nextDouble();
    note("lose answers: " + share);
    cluster.store().setLostResponseRate(share);
  }

  private void messages() {
    double share = random.nextDouble() * 0.3;
    long delayNanos = random.nextLong(400 * MILLIS);
    note("messages: loss and duplication " + share + ", delay " + delayNanos / MILLIS + " ms");
    cluster.network().setFaults(share, share, delayNanos);
  }

  private void stop(VmId name, VirtualVm vm) {
    note("stop " + name);
    vm.stop();
    cluster
        .events()
        .after(
            1_000 * MILLIS,
            () -> {
              if (cluster.vm(name) == vm && vm.isRunning()) {
                cluster.crash(name);
                cluster.start(name, vm.zone());
              }
            });
  }

  private void resize() {
    int index = random.nextInt(cluster.limits().size());
    Limit old = cluster.limits().get(index);
    Limit changed = new Limit(old.id(), old.zone(), 1 + random.nextInt(5));
    note("resize " + old.id() + " from " + old.permits() + " to " + changed.permits());
    long untilNanos =
        cluster.events().nowNanos() + SETTINGS.takeoverWaitNanos() + 500 * MILLIS + PAUSE_NANOS;
    cluster.allowPermitsUntil(old.id(), old.permits(), untilNanos);
    List<Limit> limits = new ArrayList<>(cluster.limits());
    limits.set(index, changed);
    cluster.activateLimits(limits);
  }
}
