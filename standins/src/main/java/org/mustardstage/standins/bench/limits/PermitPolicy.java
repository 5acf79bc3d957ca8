package org.mustardstage.standins.bench.limits;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.function.ToLongFunction;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.permit.AcquireRequest;
import org.mustardstage.core.permit.Limit;
import org.mustardstage.core.permit.LimitId;
import org.mustardstage.core.permit.OwnershipList;
import org.mustardstage.core.permit.OwnershipProposal;
import org.mustardstage.core.permit.PermitAction;
import org.mustardstage.core.permit.PermitAgent;
import org.mustardstage.core.permit.PermitSettings;
import org.mustardstage.core.permit.PermitStatus;
import org.mustardstage.core.permit.ProposalResult;
import org.mustardstage.core.permit.ZoneMember;

/** Entry VMs that run the permit agents of the product, with a store and a list of VMs. */
final class PermitPolicy implements SlotPolicy {
  static final ZoneId ZONE = new ZoneId("regina-a");
  private static final long MILLIS = 1_000_000L;
  private static final long TICK_NANOS = 20 * MILLIS;
  private static final long POLL_NANOS = 1_000 * MILLIS;
  private static final long STORE_NANOS = 2 * MILLIS;
  private static final long SUSPECT_NANOS = 1_000 * MILLIS;

  private final VirtualTime time;
  private final Workload workload;
  private final List<EndpointModel> endpoints;
  private final SlotGauge gauge;
  private final PermitSettings settings;
  private final List<LimitId> limits;
  private final List<Vm> vms = new ArrayList<>();
  private final Map<VmIncarnation, Vm> byName = new HashMap<>();
  private final Random random = new Random(11);
  private OwnershipList row = OwnershipList.absent(ZONE);
  private long messages;
  private long refused;
  private long lastIncarnation;

  /** One entry VM. */
  private static final class Vm {
    final VmIncarnation self;
    final PermitAgent agent;
    final Map<Long, Job> jobs = new HashMap<>();
    boolean isRunning = true;
    boolean isStopping;
    boolean isHandedOver;
    long endedNanos;
    long lastRequest;

    Vm(VmIncarnation self, PermitAgent agent) {
      this.self = self;
      this.agent = agent;
    }
  }

  private record Job(long serviceNanos, Runnable onAnswer) {}

  PermitPolicy(
      VirtualTime time, Workload workload, List<EndpointModel> endpoints, SlotGauge gauge) {
    this.time = time;
    this.workload = workload;
    this.endpoints = endpoints;
    this.gauge = gauge;
    this.settings = PermitSettings.defaults();
    this.limits = workload.limits();
  }

  @Override
  public void start() {
    for (int index = 0; index < workload.entryVms(); index++) {
      vms.add(newVm("entry-" + index));
    }
    updateMembers();
  }

  private Vm newVm(String name) {
    VmIncarnation self = new VmIncarnation(new VmId(name), ++lastIncarnation);
    Vm vm =
        new Vm(self, new PermitAgent(settings, self, ZONE, new SplittableRandom(lastIncarnation)));
    byName.put(self, vm);
    List<Limit> all = new ArrayList<>();
    limits.forEach(id -> all.add(new Limit(id, ZONE, workload.slots())));
    carryOut(vm, vm.agent.updateLimits(time.nowNanos(), 1, all));
    tick(vm);
    poll(vm);
    return vm;
  }

  /** Ends the process of an entry VM at once. */
  void crash(int index) {
    Vm vm = vms.get(index);
    vm.isRunning = false;
    vm.endedNanos = time.nowNanos();
    gauge.addWaiting(-vm.jobs.size());
    vm.jobs.clear();
  }

  /** Starts a new incarnation of an entry VM that ended. */
  void restart(int index) {
    vms.set(index, newVm(vms.get(index).self.vm().value()));
    tellMembers();
  }

  /** Starts the graceful stop of an entry VM; its requests go to the other VMs. */
  void stop(int index) {
    Vm vm = vms.get(index);
    vm.isStopping = true;
    carryOut(vm, vm.agent.stop(time.nowNanos()));
  }

  boolean isHandedOver(int index) {
    return vms.get(index).isHandedOver;
  }

  /** Returns the sum of one count over the running VMs. */
  long sum(ToLongFunction<PermitStatus> count) {
    return vms.stream()
        .filter(vm -> vm.isRunning)
        .mapToLong(vm -> count.applyAsLong(vm.agent.status(time.nowNanos())))
        .sum();
  }

  PermitStatus status(int index) {
    return vms.get(index).agent.status(time.nowNanos());
  }

  private void updateMembers() {
    tellMembers();
    time.after(200 * MILLIS, this::updateMembers);
  }

  private void tellMembers() {
    List<ZoneMember> members = new ArrayList<>();
    byName.values().forEach(vm -> members.add(asMember(vm)));
    for (Vm vm : vms) {
      if (vm.isRunning) {
        carryOut(vm, vm.agent.updateMembers(time.nowNanos(), members));
      }
    }
  }

  private ZoneMember asMember(Vm vm) {
    long silentNanos = vm.isRunning ? 0 : time.nowNanos() - vm.endedNanos;
    boolean isDropped = silentNanos > settings.takeoverWaitNanos();
    return new ZoneMember(vm.self, ZONE, silentNanos < SUSPECT_NANOS, isDropped);
  }

  private void tick(Vm vm) {
    if (vm.isRunning) {
      carryOut(vm, vm.agent.runDueTasks(time.nowNanos()));
      time.after(TICK_NANOS, () -> tick(vm));
    }
  }

  private void poll(Vm vm) {
    if (vm.isRunning) {
      read(vm);
      time.after(POLL_NANOS, () -> poll(vm));
    }
  }

  private void read(Vm vm) {
    time.after(
        STORE_NANOS,
        () -> {
          if (vm.isRunning) {
            carryOut(vm, vm.agent.updateOwnership(time.nowNanos(), row));
          }
        });
  }

  private void carryOut(Vm vm, List<PermitAction> actions) {
    for (PermitAction action : actions) {
      switch (action) {
        case PermitAction.SendMessage send -> send(vm, send);
        case PermitAction.Granted granted -> onGranted(vm, granted);
        case PermitAction.Rejected notGranted -> onNotGranted(vm, notGranted);
        case PermitAction.ProposeOwnership propose -> write(vm, propose.proposal());
        case PermitAction.HandoverDone done -> vm.isHandedOver = true;
      }
    }
  }

  private void send(Vm from, PermitAction.SendMessage send) {
    messages++;
    time.after(
        workload.networkNanos(),
        () -> {
          Vm to = byName.get(send.to());
          if (to != null && to.isRunning) {
            carryOut(to, to.agent.handleMessage(time.nowNanos(), from.self, send.message()));
          }
        });
  }

  private void write(Vm vm, OwnershipProposal proposal) {
    time.after(
        STORE_NANOS,
        () -> {
          boolean isCurrent = row.revision() == proposal.expectedRevision();
          if (isCurrent) {
            row = new OwnershipList(ZONE, row.revision() + 1, proposal.owners());
          }
          ProposalResult end =
              isCurrent ? ProposalResult.COMMITTED : ProposalResult.CONDITION_FAILED;
          time.after(STORE_NANOS, () -> onWritten(vm, proposal, end));
        });
  }

  private void onWritten(Vm vm, OwnershipProposal proposal, ProposalResult end) {
    if (vm.isRunning) {
      carryOut(vm, vm.agent.handleProposalResult(time.nowNanos(), proposal, end));
      read(vm);
    }
  }

  @Override
  public void arrive(int entryVm, long serviceNanos, Runnable onAnswer) {
    Vm vm = vms.get(entryVm % vms.size());
    while (!vm.isRunning || vm.isStopping) {
      vm = vms.get(random.nextInt(vms.size()));
    }
    long requestId = ++vm.lastRequest;
    vm.jobs.put(requestId, new Job(serviceNanos, onAnswer));
    gauge.addWaiting(1);
    List<LimitId> candidates = new ArrayList<>(limits);
    Collections.rotate(candidates, random.nextInt(candidates.size()));
    long deadlineNanos = time.nowNanos() + workload.deadlineNanos();
    AcquireRequest request =
        new AcquireRequest(
            requestId, candidates, deadlineNanos, deadlineNanos - workload.deadlineNanos() / 2);
    carryOut(vm, vm.agent.acquire(time.nowNanos(), request));
  }

  private void onNotGranted(Vm vm, PermitAction.Rejected notGranted) {
    refused++;
    gauge.addWaiting(-1);
    vm.jobs.remove(notGranted.requestId());
  }

  private void onGranted(Vm vm, PermitAction.Granted granted) {
    gauge.addWaiting(-1);
    Job job = vm.jobs.remove(granted.requestId());
    int endpoint = limits.indexOf(granted.permit().limit());
    long leftNanos = granted.useDeadlineNanos() - time.nowNanos();
    long runNanos = Math.min(job.serviceNanos(), leftNanos);
    time.after(
        workload.networkNanos(),
        () ->
            endpoints
                .get(endpoint)
                .take(
                    runNanos,
                    () ->
                        time.after(
                            workload.networkNanos(),
                            () -> onAnswer(vm, granted.requestId(), job))));
  }

  private void onAnswer(Vm vm, long requestId, Job job) {
    if (vm.isRunning) {
      job.onAnswer().run();
      carryOut(vm, vm.agent.release(time.nowNanos(), requestId, true));
    }
  }

  @Override
  public long messages() {
    return messages;
  }

  @Override
  public long refused() {
    return refused;
  }
}
