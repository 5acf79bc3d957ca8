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

/** One entry VM with an agent, a clock of its own and requests to send. */
public final class VirtualVm {
  private static final long MILLIS = 1_000_000L;
  private static final long TICK_NANOS = 20 * MILLIS;
  private static final long POLL_NANOS = 400 * MILLIS;
  private static final long MAX_TRAVEL_NANOS = 3 * MILLIS;

  private final VirtualCluster cluster;
  private final EventQueue events;
  private final RandomGenerator random;
  private final VmIncarnation self;
  private final ZoneId zone;
  private final PermitAgent agent;
  private final double clockRate;
  private final long clockOffsetNanos;
  private final Map<Long, Long> useUntil = new HashMap<>();
  private final Deque<Supplier<List<PermitAction>>> held = new ArrayDeque<>();
  private long pausedUntilNanos;
  private boolean isRunning = true;
  private boolean isHandedOver;
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

  /** Returns the VM's name. */
  public VmIncarnation self() {
    return self;
  }

  /** Returns the zone. */
  public ZoneId zone() {
    return zone;
  }

  /** Returns the counts of the agent. */
  public PermitStatus status() {
    return agent.status(clockNanos());
  }

  /** Returns whether the process runs, even if it is paused. */
  public boolean isRunning() {
    return isRunning;
  }

  /** Returns whether a graceful stop has ended. */
  public boolean isHandedOver() {
    return isHandedOver;
  }

  /** Returns how many requests got a permit. */
  public long granted() {
    return granted;
  }

  /** Returns how many requests got none. */
  public long rejected() {
    return rejected;
  }

  /** Returns the time of the clock of this VM. */
  public long clockNanos() {
    return clockOffsetNanos + (long) (events.nowNanos() * clockRate);
  }

  /** Holds all events of this VM back for a while. */
  public void pause(long nanos) {
    pausedUntilNanos = Math.max(pausedUntilNanos, events.nowNanos() + nanos);
    events.at(pausedUntilNanos, this::runHeld);
  }

  /** Ends a pause. */
  public void resume() {
    pausedUntilNanos = 0;
    runHeld();
  }

  private void runHeld() {
    while (events.nowNanos() >= pausedUntilNanos && !held.isEmpty()) {
      runOrDefer(held.poll());
    }
  }

  /** Ends the process at once. */
  public void crash() {
    isRunning = false;
    cluster.network().disconnect(self);
  }

  /** Starts the graceful stop. */
  public void stop() {
    runOrDefer(() -> agent.stop(clockNanos()));
  }

  /** Gives the agent what membership knows. */
  public void updateMembers(List<ZoneMember> members) {
    runOrDefer(() -> agent.updateMembers(clockNanos(), members));
  }

  /** Gives the agent a manifest. */
  public void updateLimits(long version, List<Limit> limits) {
    runOrDefer(() -> agent.updateLimits(clockNanos(), version, limits));
  }

  /** Runs an event of this VM, later if it is paused. */
  void runOrDefer(Supplier<List<PermitAction>> event) {
    if (!isRunning) {
      return;
    }
    if (events.nowNanos() < pausedUntilNanos) {
      held.add(event);
      return;
    }
    event.get().forEach(this::carryOut);
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

  private void carryOut(PermitAction action) {
    switch (action) {
      case PermitAction.SendMessage send -> cluster.network().send(self, send.to(), send.message());
      case PermitAction.Granted grant -> onGranted(grant);
      case PermitAction.Rejected refused -> rejected++;
      case PermitAction.ProposeOwnership propose -> propose(propose.proposal());
      case PermitAction.HandoverDone done -> isHandedOver = true;
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
            end -> {
              runOrDefer(() -> agent.handleProposalResult(clockNanos(), proposal, end));
              readRow(proposal.zone());
            });
  }

  /** Sends one request that runs for {@code serviceNanos}. */
  public void sendRequest(
      List<LimitId> limits, long serviceNanos, long deadlineNanos, boolean answerIsLost) {
    runOrDefer(
        () -> {
          List<LimitId> candidates = new ArrayList<>(limits);
          Collections.shuffle(candidates, new java.util.Random(random.nextLong()));
          long requestId = ++lastRequestId;
          useUntil.put(requestId, answerIsLost ? -serviceNanos : serviceNanos);
          return agent.acquire(
              clockNanos(),
              new AcquireRequest(
                  requestId,
                  candidates,
                  clockNanos() + deadlineNanos,
                  clockNanos() + deadlineNanos / 2));
        });
  }

  private void onGranted(PermitAction.Granted grant) {
    granted++;
    long signedServiceNanos = useUntil.remove(grant.requestId());
    events.after(random.nextLong(MILLIS), () -> runOrDefer(() -> send(grant, signedServiceNanos)));
  }

  private List<PermitAction> send(PermitAction.Granted grant, long signedServiceNanos) {
    long leftNanos = grant.useDeadlineNanos() - clockNanos();
    if (leftNanos <= 0) {
      return agent.release(clockNanos(), grant.requestId(), true);
    }
    boolean isAnswered = signedServiceNanos > 0;
    events.after(
        random.nextLong(MAX_TRAVEL_NANOS),
        () ->
            cluster
                .endpoints()
                .run(
                    grant.permit(),
                    Math.abs(signedServiceNanos),
                    leftNanos,
                    () -> onAnswer(grant, isAnswered)));
    events.after(
        leftNanos, () -> runOrDefer(() -> agent.release(clockNanos(), grant.requestId(), false)));
    return List.of();
  }

  private void onAnswer(PermitAction.Granted grant, boolean isAnswered) {
    if (isAnswered) {
      events.after(
          random.nextLong(MAX_TRAVEL_NANOS),
          () -> runOrDefer(() -> agent.release(clockNanos(), grant.requestId(), true)));
    }
  }
}
