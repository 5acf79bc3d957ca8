package org.mustardstage.core.permit;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.ZoneId;

/**
 * Runs a cluster under load and under faults that are derived from a seed, and then ends the
 * faults.
 */
public final class FaultSchedule {
  static final long MILLIS = 1_000_000L;
  static final PermitSettings SETTINGS = PermitSettings.forLeaseDuration(2_000 * MILLIS);
  static final long MAX_PAUSE_NANOS = 5_000 * MILLIS;
  private static final long FAULT_PHASE_NANOS = 7_000 * MILLIS;
  private static final long MEAN_FAULT_INTERVAL_NANOS = 400 * MILLIS;
  private static final long RECOVERY_NANOS = 5_600 * MILLIS;

  private final RandomGenerator random;
  private final VirtualCluster cluster;
  private final List<String> log = new ArrayList<>();
  private final ZoneId first = new ZoneId("zone-a");
  private final ZoneId second = new ZoneId("zone-b");
  private boolean isUnderLoad = true;

  /** Creates the schedule of a seed. */
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

  /** Returns the faults that were injected, with their times. */
  public List<String> log() {
    return log;
  }

  /**
   * Starts the VMs, and generates load and injects faults until the fault phase ends or a violation
   * occurs.
   */
  public FaultSchedule run() {
    for (int index = 0; index < 3; index++) {
      cluster.start(new VmId("a" + index), first);
    }
    cluster.start(new VmId("b0"), second);
    generateLoad();
    while (cluster.events().nowNanos() < FAULT_PHASE_NANOS
        && cluster.endpoints().violation() == null) {
      cluster
          .events()
          .runUntil(cluster.events().nowNanos() + random.nextLong(2 * MEAN_FAULT_INTERVAL_NANOS));
      injectFault();
    }
    return this;
  }

  /**
   * Ends all faults and restarts the VMs that ended, continues the load for a while, then stops it
   * and waits for recovery.
   */
  public FaultSchedule heal() {
    recordStep("heal");
    cluster.network().heal();
    cluster.store().heal();
    for (VmId id : cluster.vmIds()) {
      cluster.setWronglyDelisted(id, false);
      cluster.vm(id).resume();
      if (!cluster.vm(id).isRunning() || cluster.vm(id).status().permitsInUse() < 0) {
        cluster.start(id, cluster.vm(id).zone());
      }
    }
    cluster.events().runUntil(cluster.events().nowNanos() + RECOVERY_NANOS / 7);
    isUnderLoad = false;
    cluster.events().runUntil(cluster.events().nowNanos() + RECOVERY_NANOS);
    return this;
  }

  private void generateLoad() {
    if (!isUnderLoad) {
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
    cluster.events().after(random.nextLong(12 * MILLIS), this::generateLoad);
  }

  private void recordStep(String step) {
    log.add(cluster.events().nowNanos() / MILLIS + " ms: " + step);
  }

  private void injectFault() {
    List<VmId> names = cluster.vmIds();
    VmId name = names.get(random.nextInt(names.size()));
    VirtualVm vm = cluster.vm(name);
    switch (random.nextInt(13)) {
      case 0 -> crash(name);
      case 1, 2 -> restart(name, vm);
      case 3 -> pause(name, vm);
      case 4 -> isolate(name, vm, true);
      case 5 -> isolate(name, vm, false);
      case 6 -> setPartition(vm);
      case 7 -> heal(vm);
      case 8 -> setStoreDown(random.nextBoolean());
      case 9 -> setLostResponseRate();
      case 10 -> setMessageFaults();
      case 11 -> stop(name, vm);
      default -> resize();
    }
  }

  private void crash(VmId name) {
    recordStep("crash " + name);
    cluster.crash(name);
  }

  private void restart(VmId name, VirtualVm vm) {
    recordStep("restart " + name);
    cluster.crash(name);
    cluster.start(name, vm.zone());
  }

  private void pause(VmId name, VirtualVm vm) {
    long nanos = random.nextLong(MAX_PAUSE_NANOS);
    recordStep("pause " + name + " for " + nanos / MILLIS + " ms");
    vm.pause(nanos);
  }

  private void isolate(VmId name, VirtualVm vm, boolean isDelisted) {
    recordStep("isolate " + name + (isDelisted ? ", removed from the VM list" : ""));
    cluster.network().setIsolated(vm.self(), true);
    cluster.setWronglyDelisted(name, isDelisted);
  }

  private void setPartition(VirtualVm vm) {
    recordStep("other partition " + vm.self());
    cluster.network().setPartition(vm.self(), 1);
  }

  private void heal(VirtualVm vm) {
    recordStep("connect " + vm.self());
    cluster.network().setIsolated(vm.self(), false);
    cluster.network().setPartition(vm.self(), 0);
    cluster.setWronglyDelisted(vm.self().vm(), false);
  }

  private void setStoreDown(boolean isDown) {
    recordStep("store down: " + isDown);
    cluster.store().setDown(isDown);
  }

  private void setLostResponseRate() {
    double rate = random.nextBoolean() ? 0 : random.nextDouble();
    recordStep("rate of lost store responses: " + rate);
    cluster.store().setLostResponseRate(rate);
  }

  private void setMessageFaults() {
    double rate = random.nextDouble() * 0.3;
    long delayNanos = random.nextLong(400 * MILLIS);
    recordStep(
        "messages: loss and duplication rate "
            + rate
            + ", extra delay "
            + delayNanos / MILLIS
            + " ms");
    cluster.network().setFaults(rate, rate, delayNanos);
  }

  private void stop(VmId name, VirtualVm vm) {
    recordStep("stop " + name);
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
    recordStep("resize " + old.id() + " from " + old.permits() + " to " + changed.permits());
    long untilNanos =
        cluster.events().nowNanos() + SETTINGS.takeoverWaitNanos() + 500 * MILLIS + MAX_PAUSE_NANOS;
    cluster.allowPermitsUntil(old.id(), old.permits(), untilNanos);
    List<Limit> limits = new ArrayList<>(cluster.limits());
    limits.set(index, changed);
    cluster.activateLimits(limits);
  }
}
