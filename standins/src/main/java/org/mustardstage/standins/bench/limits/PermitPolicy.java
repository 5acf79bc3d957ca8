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

/**
 * Dispatches requests with the permit agents of the core. Simulates what the agents need: the
 * messages between entry VMs, the store of the ownership list, and the member list.
 */
final class PermitPolicy implements DispatchPolicy {
  static final ZoneId ZONE = new ZoneId("regina-a");
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long TICK_INTERVAL_NANOS = 20 * NANOS_PER_MILLI;
  private static final long OWNERSHIP_POLL_INTERVAL_NANOS = 1_000 * NANOS_PER_MILLI;
  private static final long STORE_DELAY_NANOS = 2 * NANOS_PER_MILLI;
  private static final long SUSPICION_TIMEOUT_NANOS = 1_000 * NANOS_PER_MILLI;

  private final VirtualTimeScheduler scheduler;
  private final Workload workload;
  private final List<EndpointModel> endpoints;
  private final SlotGauge gauge;
  private final PermitSettings settings;
  private final List<LimitId> limitIds;
  private final List<Vm> vms = new ArrayList<>();
  private final Map<VmIncarnation, Vm> vmsByIncarnation = new HashMap<>();
  private final Random random = new Random(11);
  private OwnershipList ownership = OwnershipList.absent(ZONE);
  private long sentMessages;
  private long rejectedRequests;
  private long lastIncarnation;

  /** An entry VM with its permit agent and the requests that wait for a permit. */
  private static final class Vm {
    final VmIncarnation self;
    final PermitAgent agent;
    final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
    boolean isRunning = true;
    boolean isStopping;
    boolean isHandedOver;
    long crashNanos;
    long lastRequestId;

    Vm(VmIncarnation self, PermitAgent agent) {
      this.self = self;
      this.agent = agent;
    }
  }

  private record PendingRequest(long serviceTimeNanos, Runnable onResponse) {}

  PermitPolicy(
      VirtualTimeScheduler scheduler,
      Workload workload,
      List<EndpointModel> endpoints,
      SlotGauge gauge) {
    this.scheduler = scheduler;
    this.workload = workload;
    this.endpoints = endpoints;
    this.gauge = gauge;
    this.settings = PermitSettings.defaults();
    this.limitIds = workload.limitIds();
  }

  @Override
  public void start() {
    for (int index = 0; index < workload.entryVms(); index++) {
      vms.add(startVm("entry-" + index));
    }
    publishMembersPeriodically();
  }

  private Vm startVm(String name) {
    VmIncarnation self = new VmIncarnation(new VmId(name), ++lastIncarnation);
    Vm vm =
        new Vm(self, new PermitAgent(settings, self, ZONE, new SplittableRandom(lastIncarnation)));
    vmsByIncarnation.put(self, vm);
    List<Limit> limits = new ArrayList<>();
    limitIds.forEach(id -> limits.add(new Limit(id, ZONE, workload.slotsPerEndpoint())));
    execute(vm, vm.agent.updateLimits(scheduler.nowNanos(), 1, limits));
    tick(vm);
    pollOwnership(vm);
    return vm;
  }

  /** Crashes an entry VM: its queued requests are lost. */
  void crash(int index) {
    Vm vm = vms.get(index);
    vm.isRunning = false;
    vm.crashNanos = scheduler.nowNanos();
    gauge.addWaiting(-vm.pendingRequests.size());
    vm.pendingRequests.clear();
  }

  /** Starts a new incarnation of an entry VM that crashed or stopped. */
  void restart(int index) {
    vms.set(index, startVm(vms.get(index).self.vm().value()));
    publishMembers();
  }

  /** Starts the graceful stop of an entry VM. New requests go to the other VMs. */
  void stop(int index) {
    Vm vm = vms.get(index);
    vm.isStopping = true;
    execute(vm, vm.agent.stop(scheduler.nowNanos()));
  }

  boolean isHandedOver(int index) {
    return vms.get(index).isHandedOver;
  }

  /** Returns the sum of one value of the permit status over the running VMs. */
  long sum(ToLongFunction<PermitStatus> count) {
    return vms.stream()
        .filter(vm -> vm.isRunning)
        .mapToLong(vm -> count.applyAsLong(vm.agent.status(scheduler.nowNanos())))
        .sum();
  }

  PermitStatus status(int index) {
    return vms.get(index).agent.status(scheduler.nowNanos());
  }

  private void publishMembersPeriodically() {
    publishMembers();
    scheduler.schedule(200 * NANOS_PER_MILLI, this::publishMembersPeriodically);
  }

  private void publishMembers() {
    List<ZoneMember> members = new ArrayList<>();
    vmsByIncarnation.values().forEach(vm -> members.add(toMember(vm)));
    for (Vm vm : vms) {
      if (vm.isRunning) {
        execute(vm, vm.agent.updateMembers(scheduler.nowNanos(), members));
      }
    }
  }

  private ZoneMember toMember(Vm vm) {
    long silentNanos = vm.isRunning ? 0 : scheduler.nowNanos() - vm.crashNanos;
    boolean isDropped = silentNanos > settings.takeoverWaitNanos();
    return new ZoneMember(vm.self, ZONE, silentNanos < SUSPICION_TIMEOUT_NANOS, isDropped);
  }

  private void tick(Vm vm) {
    if (vm.isRunning) {
      execute(vm, vm.agent.runDueTasks(scheduler.nowNanos()));
      scheduler.schedule(TICK_INTERVAL_NANOS, () -> tick(vm));
    }
  }

  private void pollOwnership(Vm vm) {
    if (vm.isRunning) {
      readOwnership(vm);
      scheduler.schedule(OWNERSHIP_POLL_INTERVAL_NANOS, () -> pollOwnership(vm));
    }
  }

  private void readOwnership(Vm vm) {
    scheduler.schedule(
        STORE_DELAY_NANOS,
        () -> {
          if (vm.isRunning) {
            execute(vm, vm.agent.updateOwnership(scheduler.nowNanos(), ownership));
          }
        });
  }

  private void execute(Vm vm, List<PermitAction> actions) {
    for (PermitAction action : actions) {
      switch (action) {
        case PermitAction.SendMessage message -> send(vm, message);
        case PermitAction.Granted grant -> handleGrant(vm, grant);
        case PermitAction.Rejected rejection -> handleRejection(vm, rejection);
        case PermitAction.ProposeOwnership propose -> writeOwnership(vm, propose.proposal());
        case PermitAction.HandoverDone done -> vm.isHandedOver = true;
      }
    }
  }

  private void send(Vm from, PermitAction.SendMessage message) {
    sentMessages++;
    scheduler.schedule(
        workload.oneWayDelayNanos(),
        () -> {
          Vm to = vmsByIncarnation.get(message.to());
          if (to != null && to.isRunning) {
            execute(to, to.agent.handleMessage(scheduler.nowNanos(), from.self, message.message()));
          }
        });
  }

  private void writeOwnership(Vm vm, OwnershipProposal proposal) {
    scheduler.schedule(
        STORE_DELAY_NANOS,
        () -> {
          boolean isCurrent = ownership.revision() == proposal.expectedRevision();
          if (isCurrent) {
            ownership = new OwnershipList(ZONE, ownership.revision() + 1, proposal.owners());
          }
          ProposalResult result =
              isCurrent ? ProposalResult.COMMITTED : ProposalResult.CONDITION_FAILED;
          scheduler.schedule(STORE_DELAY_NANOS, () -> handleWriteResult(vm, proposal, result));
        });
  }

  private void handleWriteResult(Vm vm, OwnershipProposal proposal, ProposalResult result) {
    if (vm.isRunning) {
      execute(vm, vm.agent.handleProposalResult(scheduler.nowNanos(), proposal, result));
      readOwnership(vm);
    }
  }

  @Override
  public void handleRequest(int entryVm, long serviceTimeNanos, Runnable onResponse) {
    Vm vm = vms.get(entryVm % vms.size());
    while (!vm.isRunning || vm.isStopping) {
      vm = vms.get(random.nextInt(vms.size()));
    }
    long requestId = ++vm.lastRequestId;
    vm.pendingRequests.put(requestId, new PendingRequest(serviceTimeNanos, onResponse));
    gauge.addWaiting(1);
    List<LimitId> candidates = new ArrayList<>(limitIds);
    Collections.rotate(candidates, random.nextInt(candidates.size()));
    long deadlineNanos = scheduler.nowNanos() + workload.timeoutNanos();
    AcquireRequest request =
        new AcquireRequest(
            requestId, candidates, deadlineNanos, deadlineNanos - workload.timeoutNanos() / 2);
    execute(vm, vm.agent.acquire(scheduler.nowNanos(), request));
  }

  private void handleRejection(Vm vm, PermitAction.Rejected rejection) {
    rejectedRequests++;
    gauge.addWaiting(-1);
    vm.pendingRequests.remove(rejection.requestId());
  }

  private void handleGrant(Vm vm, PermitAction.Granted grant) {
    gauge.addWaiting(-1);
    PendingRequest request = vm.pendingRequests.remove(grant.requestId());
    int endpoint = limitIds.indexOf(grant.permit().limit());
    long leftNanos = grant.useDeadlineNanos() - scheduler.nowNanos();
    long runNanos = Math.min(request.serviceTimeNanos(), leftNanos);
    scheduler.schedule(
        workload.oneWayDelayNanos(),
        () ->
            endpoints
                .get(endpoint)
                .submit(
                    runNanos,
                    () ->
                        scheduler.schedule(
                            workload.oneWayDelayNanos(),
                            () -> handleResponse(vm, grant.requestId(), request))));
  }

  private void handleResponse(Vm vm, long requestId, PendingRequest request) {
    if (vm.isRunning) {
      request.onResponse().run();
      execute(vm, vm.agent.release(scheduler.nowNanos(), requestId, true));
    }
  }

  @Override
  public long sentMessages() {
    return sentMessages;
  }

  @Override
  public long rejectedRequests() {
    return rejectedRequests;
  }
}
