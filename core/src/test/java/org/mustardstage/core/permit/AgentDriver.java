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

/** Drives one agent by hand and keeps its actions. */
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
  private long lastPeerMark;

  private AgentDriver() {
    agent = new PermitAgent(SETTINGS, SELF, ZONE, new SplittableRandom(1));
  }

  private static LimitId limitAllocatedBy(VmIncarnation vm) {
    return IntStream.iterate(0, number -> number + 1)
        .mapToObj(number -> LimitId.slotsOf(new EndpointId("desk-" + number)))
        .filter(limit -> vm.equals(AllocatorChoice.allocatorOf(limit, List.of(SELF, PEER))))
        .findFirst()
        .orElseThrow();
  }

  /** Returns an agent that knows the limit and a peer, and owns nothing. */
  static AgentDriver withoutOwnership(int permits) {
    AgentDriver driver = new AgentDriver();
    driver.limits(1, permits);
    driver.members(new ZoneMember(PEER, ZONE, true, false));
    return driver;
  }

  /** Returns an agent that owns its fair half after a handover, confirmed by its peer. */
  static AgentDriver ownerOfHalf(int permits) {
    AgentDriver driver = withoutOwnership(permits);
    driver.list(1, PEER);
    driver.halfList(2);
    driver.handover(1, List.of());
    driver.confirm();
    return driver;
  }

  /** Returns an agent that owns all parts after a handover, confirmed by its peer. */
  static AgentDriver ownerOfAll(int permits) {
    AgentDriver driver = withoutOwnership(permits);
    driver.list(1, PEER);
    driver.list(2, SELF);
    driver.handover(1, List.of());
    driver.confirm();
    return driver;
  }

  /** Returns an agent whose peer owns all parts. */
  static AgentDriver withOwningPeer(int permits) {
    AgentDriver driver = withoutOwnership(permits);
    driver.list(1, PEER);
    driver.confirm();
    return driver;
  }

  void keep(List<PermitAction> newActions) {
    actions.addAll(newActions);
  }

  void limits(long version, int permits) {
    keep(agent.updateLimits(nowNanos, version, List.of(new Limit(LIMIT, ZONE, permits))));
  }

  void members(ZoneMember... members) {
    keep(agent.updateMembers(nowNanos, List.of(members)));
  }

  static List<VmIncarnation> allTo(VmIncarnation owner) {
    return Collections.nCopies(OwnershipList.PART_COUNT, owner);
  }

  void list(long revision, VmIncarnation owner) {
    keep(agent.updateOwnership(nowNanos, new OwnershipList(ZONE, revision, allTo(owner))));
  }

  /** Gives a list by which the agent owns the lower half of the permits of the limit. */
  void halfList(long revision) {
    List<VmIncarnation> owners = new ArrayList<>(allTo(PEER));
    for (int number = 0; number < OwnershipList.PART_COUNT / 2; number++) {
      owners.set(OwnershipList.partOf(LIMIT, number), SELF);
    }
    keep(agent.updateOwnership(nowNanos, new OwnershipList(ZONE, revision, owners)));
  }

  void handover(long expectedRevision, List<PermitMessage.HandedOverPermit> permits) {
    List<Integer> parts = new ArrayList<>();
    for (int part = 0; part < OwnershipList.PART_COUNT; part++) {
      parts.add(part);
    }
    message(
        new PermitMessage.Handover(
            expectedRevision, nextPeerMark(), ZONE, expectedRevision, parts, permits));
  }

  /** Lets the peer confirm whatever the agent asks it to confirm now. */
  void confirm() {
    tick();
    for (PermitMessage.ConfirmOwnership asked : sent(PermitMessage.ConfirmOwnership.class)) {
      message(
          new PermitMessage.OwnershipConfirmed(
              asked.correlationId(), nextPeerMark(), asked.zone(), asked.revision()));
    }
  }

  long nextPeerMark() {
    return ++lastPeerMark;
  }

  void message(PermitMessage message) {
    keep(agent.handleMessage(nowNanos, PEER, message));
  }

  void tick() {
    keep(agent.runDueTasks(nowNanos));
  }

  /** Lets time pass in ticks. */
  void pass(long nanos) {
    long untilNanos = nowNanos + nanos;
    while (nowNanos < untilNanos) {
      nowNanos = Math.min(untilNanos, nowNanos + 20 * MILLIS);
      tick();
    }
  }

  /** Lets time pass in ticks while the peer confirms the ownership list. */
  void passConfirmed(long nanos) {
    long untilNanos = nowNanos + nanos;
    while (nowNanos < untilNanos) {
      nowNanos = Math.min(untilNanos, nowNanos + 20 * MILLIS);
      actions.removeIf(AgentDriver::asksToConfirm);
      confirm();
    }
  }

  private static boolean asksToConfirm(PermitAction action) {
    return action instanceof PermitAction.SendMessage send
        && send.message() instanceof PermitMessage.ConfirmOwnership;
  }

  void acquire(long requestId, long deadlineNanos) {
    keep(
        agent.acquire(
            nowNanos,
            new AcquireRequest(
                requestId, List.of(LIMIT), nowNanos + deadlineNanos, nowNanos + deadlineNanos)));
  }

  void release(long requestId, boolean slotIsFree) {
    keep(agent.release(nowNanos, requestId, slotIsFree));
  }

  /** Returns the requests that were granted, in their order. */
  List<Long> granted() {
    List<Long> granted = new ArrayList<>();
    for (PermitAction action : actions) {
      if (action instanceof PermitAction.Granted grant) {
        granted.add(grant.requestId());
      }
    }
    return granted;
  }

  /** Returns the last grant. */
  PermitAction.Granted lastGrant() {
    return (PermitAction.Granted)
        actions.stream().filter(PermitAction.Granted.class::isInstance).toList().getLast();
  }

  /** Returns why requests were not granted, in their order. */
  List<PermitRejectionReason> refusals() {
    List<PermitRejectionReason> refusals = new ArrayList<>();
    for (PermitAction action : actions) {
      if (action instanceof PermitAction.Rejected refused) {
        refusals.add(refused.reason());
      }
    }
    return refusals;
  }

  /** Returns the messages of a kind that were sent. */
  <T extends PermitMessage> List<T> sent(Class<T> kind) {
    List<T> sent = new ArrayList<>();
    for (PermitAction action : actions) {
      if (action instanceof PermitAction.SendMessage send && kind.isInstance(send.message())) {
        sent.add(kind.cast(send.message()));
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

  /** Returns a clock mark of the agent as it sends one now. */
  long ownMark() {
    actions.removeIf(PermitAction.SendMessage.class::isInstance);
    keep(agent.handleMessage(nowNanos, PEER, askForMark()));
    PermitAction.SendMessage last = (PermitAction.SendMessage) actions.getLast();
    return last.message().timestampId();
  }

  private PermitMessage askForMark() {
    return new PermitMessage.Handover(99, nextPeerMark(), ZONE, 0, List.of(), List.of());
  }

  /** Lets the peer lease a permit to the agent. */
  void transfer(int number, long stamp, long countedFromMark, long durationNanos) {
    message(
        new PermitMessage.LeaseTransfer(
            0,
            nextPeerMark(),
            countedFromMark,
            List.of(new PermitMessage.LeasedPermit(LIMIT, number, stamp, PEER, durationNanos))));
  }
}
