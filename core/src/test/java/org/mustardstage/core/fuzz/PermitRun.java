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

/** Applies steps to a cluster of four VMs in two zones. The endpoints count concurrent requests. */
final class PermitRun {
  static final int VMS = 4;
  static final int LIMITS = 3;
  private static final long SEED = 1;
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long MAX_ACTIVATION_MILLIS = 500;
  private static final long MAX_PAUSE_MILLIS = 5_000;
  private static final long MAX_STOP_MILLIS = 1_000;
  private static final long RECOVERY_MILLIS = 7_200;

  private static final PermitStep.SendLoad FINAL_LOAD = new PermitStep.SendLoad(800, 6, 0, 400);

  private final VirtualCluster cluster;
  private final RandomGenerator random = new SplittableRandom(SEED);

  PermitRun(PermitFault fault) {
    cluster = fault.newCluster(SEED);
    ZoneId firstZone = new ZoneId("zone-a");
    ZoneId secondZone = new ZoneId("zone-b");
    cluster.activateLimits(
        List.of(
            limit("desk-1", firstZone, 3),
            limit("desk-2", firstZone, 4),
            limit("desk-3", secondZone, 2)));
    for (int vm = 0; vm < VMS; vm++) {
      cluster.start(new VmId("vm-" + vm), vm == VMS - 1 ? secondZone : firstZone);
    }
  }

  private static Limit limit(String endpoint, ZoneId zone, int permits) {
    return new Limit(LimitId.slotsOf(new EndpointId(endpoint)), zone, permits);
  }

  /**
   * Returns the violated invariant: too many concurrent requests at an endpoint, or permits lost
   * for good.
   */
  Optional<String> run(List<PermitStep> steps) {
    for (PermitStep step : steps) {
      apply(step);
      if (cluster.endpoints().violation() != null) {
        return Optional.of(cluster.endpoints().violation());
      }
    }
    healFaults();
    int usable = cluster.usablePermits();
    if (usable != cluster.totalPermits()) {
      return Optional.of(
          usable + " of " + cluster.totalPermits() + " permits are usable after recovery");
    }
    load(FINAL_LOAD);
    return Optional.ofNullable(cluster.endpoints().violation());
  }

  private void apply(PermitStep step) {
    switch (step) {
      case PermitStep.SendLoad load -> load(load);
      case PermitStep.Crash crash -> cluster.crash(vmId(crash.vm()));
      case PermitStep.Restart restart -> restart(restart.vm());
      case PermitStep.Pause pause -> vm(pause.vm()).pause(pause.millis() * NANOS_PER_MILLI);
      case PermitStep.Isolate isolate -> isolate(isolate);
      case PermitStep.Partition partition ->
          cluster.network().setPartition(vm(partition.vm()).self(), 1);
      case PermitStep.Reconnect reconnect -> reconnect(reconnect.vm());
      case PermitStep.SetStoreDown store -> cluster.store().setDown(store.isDown());
      case PermitStep.LoseStoreResponses loss ->
          cluster.store().setLostResponseRate(loss.percent() / 100.0);
      case PermitStep.MessageFaults faults ->
          cluster
              .network()
              .setFaults(
                  faults.lossPercent() / 100.0,
                  faults.duplicatePercent() / 100.0,
                  faults.delayMillis() * NANOS_PER_MILLI);
      case PermitStep.Stop stop -> stop(stop.vm());
      case PermitStep.ResizeLimit resize -> resizeLimit(resize);
    }
  }

  private static VmId vmId(int vm) {
    return new VmId("vm-" + vm);
  }

  private VirtualVm vm(int vm) {
    return cluster.vm(vmId(vm));
  }

  private void load(PermitStep.SendLoad load) {
    long endNanos = cluster.events().nowNanos() + load.millis() * NANOS_PER_MILLI;
    List<LimitId> limits = cluster.limits().stream().map(Limit::id).toList();
    while (cluster.events().nowNanos() < endNanos) {
      VirtualVm vm = vm(random.nextInt(VMS));
      long serviceNanos = 1 + random.nextLong(120 * NANOS_PER_MILLI);
      boolean isLost = random.nextInt(100) < load.lostResponsePercent();
      vm.sendRequest(limits, serviceNanos, load.deadlineMillis() * NANOS_PER_MILLI, isLost);
      advanceTime(1 + random.nextLong(load.maxGapMillis()));
    }
  }

  private void advanceTime(long millis) {
    cluster.events().runUntil(cluster.events().nowNanos() + millis * NANOS_PER_MILLI);
  }

  private void restart(int vm) {
    ZoneId zone = vm(vm).zone();
    cluster.crash(vmId(vm));
    cluster.start(vmId(vm), zone);
  }

  /** Starts a graceful stop, which the driver of a VM cuts short after a maximum time. */
  private void stop(int vm) {
    VirtualVm stopping = vm(vm);
    stopping.stop();
    cluster
        .events()
        .after(
            MAX_STOP_MILLIS * NANOS_PER_MILLI,
            () -> {
              if (vm(vm) == stopping) {
                restart(vm);
              }
            });
  }

  private void isolate(PermitStep.Isolate isolate) {
    cluster.network().setIsolated(vm(isolate.vm()).self(), true);
    cluster.setWronglyDelisted(vmId(isolate.vm()), isolate.isDelisted());
  }

  private void reconnect(int vm) {
    cluster.network().setIsolated(vm(vm).self(), false);
    cluster.network().setPartition(vm(vm).self(), 0);
    cluster.setWronglyDelisted(vmId(vm), false);
  }

  /**
   * Changes the permits of a limit. A paused VM may activate the new manifest late and use the old
   * limit until its leases expire, so the old number of permits stays allowed for that time.
   */
  private void resizeLimit(PermitStep.ResizeLimit resize) {
    Limit oldLimit = cluster.limits().get(resize.limit());
    long graceNanos =
        cluster.settings().takeoverWaitNanos()
            + (MAX_ACTIVATION_MILLIS + MAX_PAUSE_MILLIS) * NANOS_PER_MILLI;
    cluster.allowPermitsUntil(
        oldLimit.id(), oldLimit.permits(), cluster.events().nowNanos() + graceNanos);
    List<Limit> limits = new ArrayList<>(cluster.limits());
    limits.set(resize.limit(), new Limit(oldLimit.id(), oldLimit.zone(), resize.permits()));
    cluster.activateLimits(limits);
  }

  private void healFaults() {
    cluster.network().heal();
    cluster.store().heal();
    for (int vm = 0; vm < VMS; vm++) {
      cluster.setWronglyDelisted(vmId(vm), false);
      vm(vm).resume();
      if (!vm(vm).isRunning()) {
        restart(vm);
      }
    }
    load(FINAL_LOAD);
    advanceTime(RECOVERY_MILLIS);
  }
}
