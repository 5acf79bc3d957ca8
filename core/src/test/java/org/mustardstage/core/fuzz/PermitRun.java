package org.mustardstage.core.fuzz;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.permit.Limit;
import org.mustardstage.core.permit.LimitId;
import org.mustardstage.core.permit.PermitFault;
import org.mustardstage.core.permit.VirtualCluster;
import org.mustardstage.core.permit.VirtualVm;

/** Applies steps to a cluster of four VMs in two zones; the endpoints count their requests. */
final class PermitRun {
  static final int VMS = 4;
  static final int LIMITS = 3;
  private static final long SEED = 1;
  private static final long MILLIS = 1_000_000L;
  private static final long APPLY_MILLIS = 500;
  private static final long MAX_PAUSE_MILLIS = 5_000;
  private static final long STOP_MILLIS = 1_000;
  private static final long HEAL_MILLIS = 7_200;

  private static final PermitStep.Load LAST_LOAD = new PermitStep.Load(800, 6, 0, 400);

  private final VirtualCluster cluster;
  private final RandomGenerator random = new SplittableRandom(SEED);

  PermitRun(PermitFault fault) {
    cluster = fault.newCluster(SEED);
    ZoneId first = new ZoneId("zone-a");
    ZoneId second = new ZoneId("zone-b");
    cluster.activateLimits(
        List.of(limit("desk-1", first, 3), limit("desk-2", first, 4), limit("desk-3", second, 2)));
    for (int vm = 0; vm < VMS; vm++) {
      cluster.start(new VmId("vm-" + vm), vm == VMS - 1 ? second : first);
    }
  }

  private static Limit limit(String endpoint, ZoneId zone, int permits) {
    return new Limit(LimitId.slotsOf(new EndpointId(endpoint)), zone, permits);
  }

  /** Returns the promise that the steps break: too many uses, or permits lost for good. */
  Optional<String> run(List<PermitStep> steps) {
    for (PermitStep step : steps) {
      apply(step);
      if (cluster.endpoints().violation() != null) {
        return Optional.of(cluster.endpoints().violation());
      }
    }
    heal();
    int usable = cluster.usablePermits();
    if (usable != cluster.totalPermits()) {
      return Optional.of(usable + " of " + cluster.totalPermits() + " permits came back");
    }
    load(LAST_LOAD);
    return Optional.ofNullable(cluster.endpoints().violation());
  }

  private void apply(PermitStep step) {
    switch (step) {
      case PermitStep.Load load -> load(load);
      case PermitStep.Crash crash -> cluster.crash(name(crash.vm()));
      case PermitStep.Restart restart -> restart(restart.vm());
      case PermitStep.Pause pause -> vm(pause.vm()).pause(pause.millis() * MILLIS);
      case PermitStep.CutOff cutOff -> cutOff(cutOff);
      case PermitStep.Split split -> cluster.network().setPartition(vm(split.vm()).self(), 1);
      case PermitStep.Connect connect -> connect(connect.vm());
      case PermitStep.Store store -> cluster.store().setDown(store.isDown());
      case PermitStep.LoseStoreAnswers lose ->
          cluster.store().setLostResponseRate(lose.percent() / 100.0);
      case PermitStep.Messages messages ->
          cluster
              .network()
              .setFaults(
                  messages.lossPercent() / 100.0,
                  messages.duplicatePercent() / 100.0,
                  messages.delayMillis() * MILLIS);
      case PermitStep.Stop stop -> stop(stop.vm());
      case PermitStep.Resize resize -> resize(resize);
    }
  }

  private static VmId name(int vm) {
    return new VmId("vm-" + vm);
  }

  private VirtualVm vm(int vm) {
    return cluster.vm(name(vm));
  }

  private void load(PermitStep.Load load) {
    long endNanos = cluster.events().nowNanos() + load.millis() * MILLIS;
    List<LimitId> limits = cluster.limits().stream().map(Limit::id).toList();
    while (cluster.events().nowNanos() < endNanos) {
      VirtualVm vm = vm(random.nextInt(VMS));
      long serviceNanos = 1 + random.nextLong(120 * MILLIS);
      boolean isLost = random.nextInt(100) < load.lostAnswerPercent();
      vm.sendRequest(limits, serviceNanos, load.deadlineMillis() * MILLIS, isLost);
      pass(1 + random.nextLong(load.gapMillis()));
    }
  }

  private void pass(long millis) {
    cluster.events().runUntil(cluster.events().nowNanos() + millis * MILLIS);
  }

  private void restart(int vm) {
    ZoneId zone = vm(vm).zone();
    cluster.crash(name(vm));
    cluster.start(name(vm), zone);
  }

  /** The driver of a VM bounds how long a graceful stop may take. */
  private void stop(int vm) {
    VirtualVm stopping = vm(vm);
    stopping.stop();
    cluster
        .events()
        .after(
            STOP_MILLIS * MILLIS,
            () -> {
              if (vm(vm) == stopping) {
                restart(vm);
              }
            });
  }

  private void cutOff(PermitStep.CutOff cutOff) {
    cluster.network().setIsolated(vm(cutOff.vm()).self(), true);
    cluster.setWronglyDelisted(name(cutOff.vm()), cutOff.isDropped());
  }

  private void connect(int vm) {
    cluster.network().setIsolated(vm(vm).self(), false);
    cluster.network().setPartition(vm(vm).self(), 0);
    cluster.setWronglyDelisted(name(vm), false);
  }

  /** A VM may stand still on the old manifest, and then use it until its leases end. */
  private void resize(PermitStep.Resize resize) {
    Limit old = cluster.limits().get(resize.limit());
    long graceNanos =
        cluster.settings().takeoverWaitNanos() + (APPLY_MILLIS + MAX_PAUSE_MILLIS) * MILLIS;
    cluster.allowPermitsUntil(old.id(), old.permits(), cluster.events().nowNanos() + graceNanos);
    List<Limit> limits = new ArrayList<>(cluster.limits());
    limits.set(resize.limit(), new Limit(old.id(), old.zone(), resize.permits()));
    cluster.activateLimits(limits);
  }

  private void heal() {
    cluster.network().heal();
    cluster.store().heal();
    for (int vm = 0; vm < VMS; vm++) {
      cluster.setWronglyDelisted(name(vm), false);
      vm(vm).resume();
      if (!vm(vm).isRunning()) {
        restart(vm);
      }
    }
    load(LAST_LOAD);
    pass(HEAL_MILLIS);
  }
}
