package org.mustardstage.core.permit;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;

/** Drives one agent directly, plays its only peer, and records the actions of the agent. */
final class AgentDriver {
  static final long MILLIS = 1_000_000L;
  static final ZoneId ZONE = new ZoneId("zone-a");
  static final VmIncarnation SELF = new VmIncarnation(new VmId("self"), 1);
  static final VmIncarnation PEER = new VmIncarnation(new VmId("peer"), 1);
  static final LimitId LIMIT = limitAllocatedBy(SELF);
  static final PermitSettings SETTINGS = PermitSettings.defaults();

  final PermitAgent agent;
  private final List<PermitAction> actions = new ArrayList<>();
  long nowNanos = 1_000 * MILLIS;
  private long lastPeerTimestampId;

  private AgentDriver() {
    agent = new PermitAgent(SETTINGS, SELF, ZONE, new SplittableRandom(1));
  }

  private static LimitId limitAllocatedBy(VmIncarnation vm) {
    return IntStream.iterate(0, number -> number + 1)
        .mapToObj(number -> LimitId.slotsOf(new EndpointId("desk-" + number)))
        .filter(limit -> vm.equals(AllocatorSelector.select(limit, List.of(SELF, PEER))))
        .findFirst()
        .orElseThrow();
  }

  /** Returns the driver of an agent that knows the limit and a peer, and owns nothing. */
  static AgentDriver withoutOwnership(int permits) {
    AgentDriver driver = new AgentDriver();
    driver.updateLimits(1, permits);
    driver.updateMembers(new ZoneMember(PEER, ZONE, true, false));
    return driver;
  }

  /**
   * Returns the driver of an agent that owns its equal share after a handover, confirmed by its
   * peer.
   */
  static AgentDriver ownerOfHalf(int permits) {
    AgentDriver driver = withoutOwnership(permits);
    driver.updateOwnership(1, PEER);
    driver.updateToHalfOwnership(2);
    driver.deliverHandover(1, List.of());
    driver.confirmOwnership();
    return driver;
  }

  /** Returns the driver of an agent that owns all parts after a handover, confirmed by its peer. */
  static AgentDriver ownerOfAll(int permits) {
    AgentDriver driver = withoutOwnership(permits);
    driver.updateOwnership(1, PEER);
    driver.updateOwnership(2, SELF);
    driver.deliverHandover(1, List.of());
    driver.confirmOwnership();
    return driver;
  }

  /** Returns the driver of an agent whose peer owns all parts. */
  static AgentDriver withOwningPeer(int permits) {
    AgentDriver driver = withoutOwnership(permits);
    driver.updateOwnership(1, PEER);
    driver.confirmOwnership();
    return driver;
  }

  void record(List<PermitAction> newActions) {
    actions.addAll(newActions);
  }

  void updateLimits(long version, int permits) {
    record(agent.updateLimits(nowNanos, version, List.of(new Limit(LIMIT, ZONE, permits))));
  }

  void updateMembers(ZoneMember... members) {
    record(agent.updateMembers(nowNanos, List.of(members)));
  }

  static List<VmIncarnation> allOwnedBy(VmIncarnation owner) {
    return Collections.nCopies(OwnershipList.PART_COUNT, owner);
  }

  void updateOwnership(long revision, VmIncarnation owner) {
    record(agent.updateOwnership(nowNanos, new OwnershipList(ZONE, revision, allOwnedBy(owner))));
  }

  /**
   * Updates the ownership list so that the agent owns the lower half of the permits of the limit.
   */
  void updateToHalfOwnership(long revision) {
    List<VmIncarnation> owners = new ArrayList<>(allOwnedBy(PEER));
    for (int number = 0; number < OwnershipList.PART_COUNT / 2; number++) {
      owners.set(OwnershipList.partOf(LIMIT, number), SELF);
    }
    record(agent.updateOwnership(nowNanos, new OwnershipList(ZONE, revision, owners)));
  }

  void deliverHandover(long expectedRevision, List<PermitMessage.HandedOverPermit> permits) {
    List<Integer> parts = new ArrayList<>();
    for (int part = 0; part < OwnershipList.PART_COUNT; part++) {
      parts.add(part);
    }
    deliver(
        new PermitMessage.Handover(
            expectedRevision, nextPeerTimestampId(), ZONE, expectedRevision, parts, permits));
  }

  /**
   * Runs the due tasks of the agent, and lets the peer respond to all requests for confirmation.
   */
  void confirmOwnership() {
    runDueTasks();
    for (PermitMessage.ConfirmOwnership request :
        sentMessages(PermitMessage.ConfirmOwnership.class)) {
      deliver(
          new PermitMessage.OwnershipConfirmed(
              request.correlationId(), nextPeerTimestampId(), request.zone(), request.revision()));
    }
  }

  long nextPeerTimestampId() {
    return ++lastPeerTimestampId;
  }

  void deliver(PermitMessage message) {
    record(agent.handleMessage(nowNanos, PEER, message));
  }

  void runDueTasks() {
    record(agent.runDueTasks(nowNanos));
  }

  /** Advances time in steps of 20 ms and runs the due tasks at each. */
  void advance(long nanos) {
    long untilNanos = nowNanos + nanos;
    while (nowNanos < untilNanos) {
      nowNanos = Math.min(untilNanos, nowNanos + 20 * MILLIS);
      runDueTasks();
    }
  }

  /** Advances time in steps of 20 ms, while the peer confirms the ownership list. */
  void advanceConfirmed(long nanos) {
    long untilNanos = nowNanos + nanos;
    while (nowNanos < untilNanos) {
      nowNanos = Math.min(untilNanos, nowNanos + 20 * MILLIS);
      actions.removeIf(AgentDriver::isConfirmationRequest);
      confirmOwnership();
    }
  }

  private static boolean isConfirmationRequest(PermitAction action) {
    return action instanceof PermitAction.SendMessage send
        && send.message() instanceof PermitMessage.ConfirmOwnership;
  }

  void acquire(long requestId, long deadlineNanos) {
    record(
        agent.acquire(
            nowNanos,
            new AcquireRequest(
                requestId, List.of(LIMIT), nowNanos + deadlineNanos, nowNanos + deadlineNanos)));
  }

  void release(long requestId, boolean slotIsFree) {
    record(agent.release(nowNanos, requestId, slotIsFree));
  }

  /** Returns the ids of the granted requests, in the order of their grants. */
  List<Long> granted() {
    List<Long> granted = new ArrayList<>();
    for (PermitAction action : actions) {
      if (action instanceof PermitAction.Granted grant) {
        granted.add(grant.requestId());
      }
    }
    return granted;
  }

  /** Returns the latest grant. */
  PermitAction.Granted lastGrant() {
    return (PermitAction.Granted)
        actions.stream().filter(PermitAction.Granted.class::isInstance).toList().getLast();
  }

  /** Returns the reasons of the rejections, in their order. */
  List<PermitRejectionReason> rejections() {
    List<PermitRejectionReason> rejections = new ArrayList<>();
    for (PermitAction action : actions) {
      if (action instanceof PermitAction.Rejected rejected) {
        rejections.add(rejected.reason());
      }
    }
    return rejections;
  }

  /** Returns the sent messages of one type. */
  <T extends PermitMessage> List<T> sentMessages(Class<T> type) {
    List<T> sent = new ArrayList<>();
    for (PermitAction action : actions) {
      if (action instanceof PermitAction.SendMessage send && type.isInstance(send.message())) {
        sent.add(type.cast(send.message()));
      }
    }
    return sent;
  }

  /** Returns the proposals that were made. */
  List<OwnershipProposal> proposals() {
    List<OwnershipProposal> proposals = new ArrayList<>();
    for (PermitAction action : actions) {
      if (action instanceof PermitAction.ProposeOwnership propose) {
        proposals.add(propose.proposal());
      }
    }
    return proposals;
  }

  boolean isHandedOver() {
    return actions.stream().anyMatch(PermitAction.HandoverDone.class::isInstance);
  }

  /** Returns a timestamp id that the agent sends now. */
  long agentTimestampId() {
    actions.removeIf(PermitAction.SendMessage.class::isInstance);
    record(agent.handleMessage(nowNanos, PEER, messageWithReply()));
    PermitAction.SendMessage last = (PermitAction.SendMessage) actions.getLast();
    return last.message().timestampId();
  }

  private PermitMessage messageWithReply() {
    return new PermitMessage.Handover(99, nextPeerTimestampId(), ZONE, 0, List.of(), List.of());
  }

  /** Delivers a transfer of a lease from the peer. */
  void deliverTransfer(int number, long fencingToken, long baseTimestampId, long durationNanos) {
    deliver(
        new PermitMessage.LeaseTransfer(
            0,
            nextPeerTimestampId(),
            baseTimestampId,
            List.of(
                new PermitMessage.LeasedPermit(LIMIT, number, fencingToken, PEER, durationNanos))));
  }
}
