package org.mustardstage.core.permit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.permit.PermitMessage.Handover;

/**
 * Proposes changes of ownership lists, one at a time for each zone, and hands over what was given
 * away. Parts that a proposal gives away are frozen until it is known how it ended.
 */
final class OwnershipProposer {
  private static final long PLAN_INTERVAL_NANOS = 100_000_000L;
  private static final long RANK_DELAY_NANOS = 300_000_000L;
  private static final long RETRY_DELAY_NANOS = 100_000_000L;
  private static final int MAX_BACKOFF_SHIFT_BITS = 5;

  private final AgentContext context;
  private final OwnershipTracker tracker;
  private final PendingHandovers handovers;
  private final Map<ZoneOwnership, PendingProposal> pendingProposals = new HashMap<>();
  private final Map<ZoneOwnership, PlanningState> planningStates = new HashMap<>();
  private boolean stopping;
  private long lastProposalId;

  /** Why a proposal is made. */
  private enum Purpose {
    CLAIM,
    TAKE_OVER,
    GIVE_AWAY,
    CONFIRM
  }

  /** A proposal whose end is not known. */
  private static final class PendingProposal {
    final Purpose purpose;
    final Set<Integer> givenParts;
    final long firstProposedNanos;
    OwnershipProposal proposal;
    long proposedNanos;
    boolean hasUnknownOutcome;
    boolean isInFlight = true;

    PendingProposal(Purpose purpose, Set<Integer> given, long nowNanos) {
      this.purpose = purpose;
      this.givenParts = given;
      this.firstProposedNanos = nowNanos;
    }
  }

  /** When a zone is looked at next, and since when something is to be claimed there. */
  private static final class PlanningState {
    long nextPlanNanos;
    long claimableSinceNanos = Long.MAX_VALUE;
    int failures;

    void backOff(ProposalResult end, long nowNanos, AgentContext context) {
      boolean isStoreLost = end == ProposalResult.UNAVAILABLE || end == ProposalResult.OUTCOME_UNKNOWN;
      failures = isStoreLost ? Math.min(failures + 1, MAX_BACKOFF_SHIFT_BITS) : 0;
      nextPlanNanos = nowNanos + context.jitter(RETRY_DELAY_NANOS << failures);
    }
  }

  OwnershipProposer(AgentContext context, OwnershipTracker tenure) {
    this.context = context;
    this.tracker = tenure;
    this.handovers = new PendingHandovers(context);
  }

  void stop() {
    stopping = true;
  }

  /** Returns whether this VM owns nothing and all handovers are confirmed. */
  boolean isHandedOver() {
    for (ZoneOwnership ownership : tracker.zones()) {
      if (ownership.ownedPartCount() > 0 || pendingProposals.containsKey(ownership)) {
        return false;
      }
    }
    return handovers.allConfirmed();
  }

  /** Takes over a list; returns whether it was newer than the known one. */
  boolean updateList(long nowNanos, OwnershipList list) {
    ZoneOwnership ownership = tracker.zoneOf(list.zone());
    long knownRevision = ownership.revision();
    boolean isTenureSure = ownership.isOwnershipContinuous(nowNanos);
    if (!ownership.update(list)) {
      retryPendingNow(ownership, nowNanos);
      return false;
    }
    if (!isTenureSure && list.revision() > 0) {
      tracker.loseParts(ownership, ownership.ownedParts(), knownRevision, list.owners());
    }
    boolean isProposer = resolvePending(ownership, nowNanos);
    tracker.applyList(ownership, nowNanos);
    for (PendingHandovers.EarlyHandover early : handovers.removeApplicable(ownership)) {
      tracker.applyHandover(ownership, early.handover(), early.receivedNanos(), nowNanos);
    }
    if (isProposer && knownRevision >= 0) {
      advertise(ownership, nowNanos);
    }
    return true;
  }

  /** Settles a proposal by a newer list; returns whether this VM had one under way. */
  private boolean resolvePending(ZoneOwnership ownership, long nowNanos) {
    PendingProposal pending = pendingProposals.get(ownership);
    if (pending == null) {
      return false;
    }
    if (!context.guards.mayUnfreeze(ownership.revision(), pending.proposal.expectedRevision())) {
      return false;
    }
    if (pending.purpose == Purpose.GIVE_AWAY) {
      handOverIfApplied(ownership, pending, nowNanos);
    }
    if (!pending.isInFlight) {
      pendingProposals.remove(ownership);
      restartOwnership(ownership, pending, nowNanos);
    }
    return true;
  }

  /**
   * Starts a new tenure of parts that may have had another owner since they were to be given away.
   */
  private void restartOwnership(ZoneOwnership ownership, PendingProposal pending, long nowNanos) {
    Set<Integer> doubtful = new HashSet<>(pending.givenParts);
    doubtful.retainAll(ownership.ownedParts());
    tracker.loseParts(
        ownership, doubtful, pending.proposal.expectedRevision(), ownership.list().owners());
    tracker.applyList(ownership, nowNanos);
  }

  private void handOverIfApplied(ZoneOwnership ownership, PendingProposal pending, long nowNanos) {
    boolean isRecent = nowNanos - pending.firstProposedNanos < context.settings.leaseDurationNanos() / 2;
    boolean isTaken = true;
    for (int part : pending.givenParts) {
      isTaken &= pending.proposal.owners().get(part).equals(ownership.ownerOf(part));
    }
    if (isRecent && isTaken) {
      sendHandovers(ownership, pending, nowNanos);
    }
  }

  private static void unfreeze(ZoneOwnership ownership, PendingProposal pending) {
    pending.givenParts.forEach(part -> ownership.setFrozen(part, false));
  }

  private void retryPendingNow(ZoneOwnership ownership, long nowNanos) {
    PendingProposal pending = pendingProposals.get(ownership);
    if (pending != null && !pending.isInFlight) {
      planningState(ownership).nextPlanNanos = nowNanos;
    }
  }

  /** Sends the known list to the VMs of its zone. */
  private void advertise(ZoneOwnership ownership, long nowNanos) {
    for (VmIncarnation vm : context.membership.aliveIn(ownership.zone)) {
      if (!vm.equals(context.self)) {
        advertiseTo(vm, ownership, nowNanos);
      }
    }
  }

  /** Sends the known list to one VM. */
  void advertiseTo(VmIncarnation vm, ZoneOwnership ownership, long nowNanos) {
    OwnershipList list = ownership.list();
    context.actions.send(
        vm,
        new PermitMessage.OwnershipAdvertised(
            context.timestamps.currentId(nowNanos), list.zone(), list.revision(), list.owners()));
  }

  /** Takes over the end of a proposal. */
  void handleResult(long nowNanos, OwnershipProposal proposal, ProposalResult end) {
    ZoneOwnership ownership = tracker.zoneOf(proposal.zone());
    PendingProposal pending = pendingProposals.get(ownership);
    if (pending == null || pending.proposal.proposalId() != proposal.proposalId()) {
      return;
    }
    pending.isInFlight = false;
    planningState(ownership).backOff(end, nowNanos, context);
    switch (end) {
      case COMMITTED -> applyCommitted(ownership, pending, nowNanos);
      case CONDITION_FAILED, UNAVAILABLE -> discardUnwritten(ownership, pending);
      case OUTCOME_UNKNOWN -> pending.hasUnknownOutcome = true;
    }
    if (ownership.revision() > proposal.expectedRevision()) {
      resolvePending(ownership, nowNanos);
      tracker.applyList(ownership, nowNanos);
    }
  }

  private void applyCommitted(ZoneOwnership ownership, PendingProposal pending, long nowNanos) {
    pendingProposals.remove(ownership);
    ownership.recordConfirmation(pending.proposedNanos);
    switch (pending.purpose) {
      case CLAIM -> sendClaimHandovers(ownership, pending.proposal, nowNanos);
      case GIVE_AWAY -> sendHandovers(ownership, pending, nowNanos);
      case TAKE_OVER, CONFIRM -> {}
    }
  }

  private void discardUnwritten(ZoneOwnership ownership, PendingProposal pending) {
    if (!pending.hasUnknownOutcome) {
      pendingProposals.remove(ownership);
      unfreeze(ownership, pending);
    }
  }

  private void sendHandovers(ZoneOwnership ownership, PendingProposal pending, long nowNanos) {
    OwnershipProposal proposal = pending.proposal;
    Map<VmIncarnation, Set<Integer>> byOwner = new HashMap<>();
    for (int part : pending.givenParts) {
      if (ownership.isOwned(part)) {
        byOwner.computeIfAbsent(proposal.owners().get(part), vm -> new HashSet<>()).add(part);
      }
    }
    byOwner.forEach(
        (owner, parts) ->
            handovers.send(
                owner,
                new Handover(
                    handovers.nextId(),
                    context.timestamps.currentId(nowNanos),
                    ownership.zone,
                    proposal.expectedRevision(),
                    List.copyOf(parts),
                    tracker.describePermits(ownership, parts, nowNanos)),
                nowNanos));
    tracker.loseParts(ownership, pending.givenParts, proposal.expectedRevision() + 1, proposal.owners());
  }

  /** Tells the owners of a row that was absent that no permit is in use. */
  private void sendClaimHandovers(ZoneOwnership ownership, OwnershipProposal proposal, long nowNanos) {
    OwnershipPlanner.changedParts(List.of(), proposal.owners())
        .forEach((owner, parts) -> sendClaimHandover(ownership, owner, parts, nowNanos));
  }

  private void sendClaimHandover(
      ZoneOwnership ownership, VmIncarnation owner, List<Integer> parts, long nowNanos) {
    Handover handover =
        new Handover(
            handovers.nextId(), context.timestamps.currentId(nowNanos), ownership.zone, 0, parts, List.of());
    if (owner.equals(context.self)) {
      acceptHandover(nowNanos, handover);
    } else {
      handovers.send(owner, handover, nowNanos);
    }
  }

  /** Takes over a handover. */
  void acceptHandover(long nowNanos, Handover handover) {
    ZoneOwnership ownership = tracker.zoneOf(handover.zone());
    if (ownership.revision() <= handover.expectedRevision()) {
      handovers.addEarly(handover, nowNanos);
    } else {
      tracker.applyHandover(ownership, handover, nowNanos, nowNanos);
    }
  }

  void confirmHandover(long handoverId) {
    handovers.confirm(handoverId);
  }

  /** Makes the proposals that are due. */
  void proposeDueChanges(long nowNanos) {
    handovers.resendDue(nowNanos);
    for (ZoneOwnership ownership : tracker.zones()) {
      PlanningState plan = planningState(ownership);
      if (ownership.list() != null && nowNanos >= plan.nextPlanNanos) {
        plan.nextPlanNanos = nowNanos + context.jitter(PLAN_INTERVAL_NANOS);
        planChange(ownership, plan, nowNanos);
      }
    }
  }

  private PlanningState planningState(ZoneOwnership ownership) {
    return planningStates.computeIfAbsent(ownership, key -> new PlanningState());
  }

  private void planChange(ZoneOwnership ownership, PlanningState plan, long nowNanos) {
    PendingProposal pending = pendingProposals.get(ownership);
    if (pending != null) {
      retryPending(ownership, pending, nowNanos);
      return;
    }
    List<VmIncarnation> vms = candidateOwners(ownership);
    if (vms.isEmpty()) {
      return;
    }
    if (proposeClaim(ownership, plan, vms, nowNanos)) {
      return;
    }
    if (ownership.ownedPartCount() > 0) {
      proposeRebalance(ownership, vms, nowNanos);
    }
  }

  private void retryPending(ZoneOwnership ownership, PendingProposal pending, long nowNanos) {
    if (pending.isInFlight) {
      return;
    }
    if (ownership.revision() > pending.proposal.expectedRevision()) {
      resolvePending(ownership, nowNanos);
    } else {
      propose(ownership, pending, pending.proposal.owners(), nowNanos);
    }
  }

  /** Returns the VMs that may own parts: those of the zone, or, with none left, of this zone. */
  private List<VmIncarnation> candidateOwners(ZoneOwnership ownership) {
    List<VmIncarnation> vms = context.membership.aliveIn(ownership.zone);
    if (!vms.isEmpty() || ownership.zone.equals(context.zone)) {
      return vms;
    }
    boolean isLost = !context.membership.mayOtherVmRunIn(ownership.zone);
    return isLost ? context.membership.aliveIn(context.zone) : List.of();
  }

  private boolean proposeClaim(
      ZoneOwnership ownership, PlanningState plan, List<VmIncarnation> vms, long nowNanos) {
    int rank = vms.indexOf(context.self);
    List<VmIncarnation> owners = ownership.list().owners();
    List<VmIncarnation> claimed =
        ownership.revision() == 0
            ? OwnershipPlanner.distributeEvenly(vms)
            : OwnershipPlanner.reassign(owners, this::isGone, vms);
    if (rank < 0 || claimed.equals(owners)) {
      plan.claimableSinceNanos = Long.MAX_VALUE;
      return false;
    }
    plan.claimableSinceNanos = Math.min(plan.claimableSinceNanos, nowNanos);
    if (nowNanos - plan.claimableSinceNanos >= rank * RANK_DELAY_NANOS) {
      Purpose purpose = ownership.revision() == 0 ? Purpose.CLAIM : Purpose.TAKE_OVER;
      propose(ownership, new PendingProposal(purpose, Set.of(), nowNanos), claimed, nowNanos);
      plan.claimableSinceNanos = Long.MAX_VALUE;
    }
    return true;
  }

  private boolean isGone(VmIncarnation vm) {
    return !context.membership.mayRun(vm, context.guards);
  }

  private void proposeRebalance(ZoneOwnership ownership, List<VmIncarnation> vms, long nowNanos) {
    List<VmIncarnation> owners = ownership.list().owners();
    List<VmIncarnation> changed = OwnershipPlanner.rebalance(owners, context.self, vms);
    Set<Integer> given = new HashSet<>();
    for (int part = 0; part < owners.size(); part++) {
      if (!owners.get(part).equals(changed.get(part)) && ownership.isOwned(part)) {
        given.add(part);
      }
    }
    if (!given.isEmpty()) {
      given.forEach(part -> ownership.setFrozen(part, true));
      propose(ownership, new PendingProposal(Purpose.GIVE_AWAY, given, nowNanos), changed, nowNanos);
    }
  }

  /** Writes the list unchanged, which confirms it when that succeeds. */
  void proposeUnchanged(ZoneOwnership ownership, long nowNanos) {
    if (!pendingProposals.containsKey(ownership)) {
      PendingProposal pending = new PendingProposal(Purpose.CONFIRM, Set.of(), nowNanos);
      propose(ownership, pending, new ArrayList<>(ownership.list().owners()), nowNanos);
    }
  }

  private void propose(
      ZoneOwnership ownership, PendingProposal pending, List<VmIncarnation> owners, long nowNanos) {
    pending.proposal =
        new OwnershipProposal(++lastProposalId, ownership.zone, ownership.revision(), owners);
    pending.proposedNanos = nowNanos;
    pending.isInFlight = true;
    pendingProposals.put(ownership, pending);
    context.actions.add(new PermitAction.ProposeOwnership(pending.proposal));
  }

  /** Returns whether this VM is stopping. */
  boolean isStopping() {
    return stopping;
  }
}
