package org.mustardstage.core.permit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;

/** An entry VM in virtual time, with an agent, a clock of its own, and requests to send. */
public final class VirtualVm {
  private static final long MILLIS = 1_000_000L;
  private static final long TICK_NANOS = 20 * MILLIS;
  private static final long POLL_NANOS = 400 * MILLIS;
  private static final long MAX_NETWORK_DELAY_NANOS = 3 * MILLIS;

  private final VirtualCluster cluster;
  private final EventQueue events;
  private final RandomGenerator random;
  private final VmIncarnation self;
  private final ZoneId zone;
  private final PermitAgent agent;
  private final double clockRate;
  private final long clockOffsetNanos;
  // Negative for a request whose response gets lost.
  private final Map<Long, Long> serviceNanosByRequest = new HashMap<>();
  private final Deque<Supplier<List<PermitAction>>> deferredEvents = new ArrayDeque<>();
  private long pausedUntilNanos;
  private boolean isRunning = true;
  private boolean isHandoverDone;
  private long lastRequestId;
  private long granted;
  private long rejected;

  VirtualVm(
      VirtualCluster cluster, VmIncarnation self, ZoneId zone, long seed, PermitGuards guards) {
    this.cluster = cluster;
    this.events = cluster.events();
    this.random = new SplittableRandom(seed);
    this.self = self;
    this.zone = zone;
    double maxError = cluster.settings().maxClockRateErrorPpm() / 1e6;
    this.clockRate = 1 + (2 * random.nextDouble() - 1) * maxError;
    this.clockOffsetNanos = random.nextLong(1L << 50);
    this.agent =
        new PermitAgent(cluster.settings(), self, zone, new SplittableRandom(seed + 1), guards);
    cluster
        .network()
        .connect(
            self,
            (from, message) -> runOrDefer(() -> agent.handleMessage(clockNanos(), from, message)));
    tick();
    poll();
  }

  /** Returns the incarnation of this VM. */
  public VmIncarnation self() {
    return self;
  }

  public ZoneId zone() {
    return zone;
  }

  /** Returns the status of the agent. */
  public PermitStatus status() {
    return agent.status(clockNanos());
  }

  /** Returns whether the process is running, even if it is paused. */
  public boolean isRunning() {
    return isRunning;
  }

  /** Returns whether a graceful stop has completed. */
  public boolean isHandoverDone() {
    return isHandoverDone;
  }

  /** Returns how many requests were granted a permit. */
  public long granted() {
    return granted;
  }

  /** Returns how many requests were rejected. */
  public long rejected() {
    return rejected;
  }

  /** Returns the time of the clock of this VM, which has an offset and a rate error. */
  public long clockNanos() {
    return clockOffsetNanos + (long) (events.nowNanos() * clockRate);
  }

  /** Pauses the process; its events are deferred until the pause ends. */
  public void pause(long nanos) {
    pausedUntilNanos = Math.max(pausedUntilNanos, events.nowNanos() + nanos);
    events.at(pausedUntilNanos, this::runDeferred);
  }

  /** Ends a pause, and runs the deferred events. */
  public void resume() {
    pausedUntilNanos = 0;
    runDeferred();
  }

  private void runDeferred() {
    while (events.nowNanos() >= pausedUntilNanos && !deferredEvents.isEmpty()) {
      runOrDefer(deferredEvents.poll());
    }
  }

  /** Ends the process immediately. */
  public void crash() {
    isRunning = false;
    cluster.network().disconnect(self);
  }

  /** Starts the graceful stop. */
  public void stop() {
    runOrDefer(() -> agent.stop(clockNanos()));
  }

  /** Updates the members that the agent knows. */
  public void updateMembers(List<ZoneMember> members) {
    runOrDefer(() -> agent.updateMembers(clockNanos(), members));
  }

  /** Updates the limits that the agent knows. */
  public void updateLimits(long version, List<Limit> limits) {
    runOrDefer(() -> agent.updateLimits(clockNanos(), version, limits));
  }

  /** Runs an event of this VM, or defers it while the VM is paused. */
  void runOrDefer(Supplier<List<PermitAction>> event) {
    if (!isRunning) {
      return;
    }
    if (events.nowNanos() < pausedUntilNanos) {
      deferredEvents.add(event);
      return;
    }
    event.get().forEach(this::execute);
  }

  private void tick() {
    if (!isRunning) {
      return;
    }
    if (events.nowNanos() >= pausedUntilNanos) {
      runOrDefer(() -> agent.runDueTasks(clockNanos()));
    }
    events.after(TICK_NANOS, this::tick);
  }

  private void poll() {
    if (!isRunning) {
      return;
    }
    cluster.zones().forEach(this::readRow);
    events.after(POLL_NANOS / 2 + random.nextLong(POLL_NANOS), this::poll);
  }

  private void readRow(ZoneId rowZone) {
    if (!cluster.network().isIsolated(self)) {
      cluster
          .store()
          .read(rowZone, list -> runOrDefer(() -> agent.updateOwnership(clockNanos(), list)));
    }
  }

  private void execute(PermitAction action) {
    switch (action) {
      case PermitAction.SendMessage send -> cluster.network().send(self, send.to(), send.message());
      case PermitAction.Granted grant -> scheduleSend(grant);
      case PermitAction.Rejected rejection -> rejected++;
      case PermitAction.ProposeOwnership propose -> propose(propose.proposal());
      case PermitAction.HandoverDone done -> isHandoverDone = true;
    }
  }

  private void propose(OwnershipProposal proposal) {
    if (cluster.network().isIsolated(self)) {
      events.after(
          MILLIS,
          () ->
              runOrDefer(
                  () ->
                      agent.handleProposalResult(
                          clockNanos(), proposal, ProposalResult.UNAVAILABLE)));
      return;
    }
    cluster
        .store()
        .write(
            proposal,
            result -> {
              runOrDefer(() -> agent.handleProposalResult(clockNanos(), proposal, result));
              readRow(proposal.zone());
            });
  }

  /** Sends one request that runs for {@code serviceNanos}. */
  public void sendRequest(
      List<LimitId> limits, long serviceNanos, long deadlineNanos, boolean isResponseLost) {
    runOrDefer(
        () -> {
          List<LimitId> candidates = new ArrayList<>(limits);
          Collections.shuffle(candidates, new java.util.Random(random.nextLong()));
          long requestId = ++lastRequestId;
          serviceNanosByRequest.put(requestId, isResponseLost ? -serviceNanos : serviceNanos);
          return agent.acquire(
              clockNanos(),
              new AcquireRequest(
                  requestId,
                  candidates,
                  clockNanos() + deadlineNanos,
                  clockNanos() + deadlineNanos / 2));
        });
  }

  private void scheduleSend(PermitAction.Granted grant) {
    granted++;
    long signedServiceNanos = serviceNanosByRequest.remove(grant.requestId());
    events.after(
        random.nextLong(MILLIS), () -> runOrDefer(() -> sendToEndpoint(grant, signedServiceNanos)));
  }

  private List<PermitAction> sendToEndpoint(PermitAction.Granted grant, long signedServiceNanos) {
    long remainingNanos = grant.useDeadlineNanos() - clockNanos();
    if (remainingNanos <= 0) {
      return agent.release(clockNanos(), grant.requestId(), true);
    }
    boolean hasResponse = signedServiceNanos > 0;
    events.after(
        random.nextLong(MAX_NETWORK_DELAY_NANOS),
        () ->
            cluster
                .endpoints()
                .run(
                    grant.permit(),
                    Math.abs(signedServiceNanos),
                    remainingNanos,
                    () -> scheduleRelease(grant, hasResponse)));
    events.after(
        remainingNanos,
        () -> runOrDefer(() -> agent.release(clockNanos(), grant.requestId(), false)));
    return List.of();
  }

  private void scheduleRelease(PermitAction.Granted grant, boolean hasResponse) {
    if (hasResponse) {
      events.after(
          random.nextLong(MAX_NETWORK_DELAY_NANOS),
          () -> runOrDefer(() -> agent.release(clockNanos(), grant.requestId(), true)));
    }
  }
}
