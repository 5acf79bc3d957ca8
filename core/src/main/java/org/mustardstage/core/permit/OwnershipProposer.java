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
 * Proposes changes of ownership lists, one at a time per zone: claims of absent rows, takeovers of
 * parts whose owner is gone, and the giving away of parts to balance load or before this VM stops.
 * Sends handovers to the new owners. Parts that a proposal gives away are frozen until its result
 * is known, so that no permit is used by two owners.
 */
final class OwnershipProposer {
  private static final long PLAN_INTERVAL_NANOS = 100_000_000L;
  // Each VM claims this much later than the VM before it, so that proposals rarely conflict.
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

  /** What a proposal changes. */
  private enum Purpose {
    /** Assigns all parts of a zone whose row is absent. */
    CLAIM,
    /** Assigns the parts of VMs that are gone. */
    TAKE_OVER,
    /** Gives parts of this VM to other VMs. */
    GIVE_AWAY,
    /** Writes the row unchanged, to confirm it. */
    CONFIRM
  }

  /** A proposal that was made and whose effect on the list is not known yet. */
  private static final class PendingProposal {
    final Purpose purpose;
    final Set<Integer> givenParts;
    final long firstProposedNanos;
    OwnershipProposal proposal;
    long proposedNanos;
    boolean hasUnknownResult;
    boolean isInFlight = true;

    PendingProposal(Purpose purpose, Set<Integer> givenParts, long nowNanos) {
      this.purpose = purpose;
      this.givenParts = givenParts;
      this.firstProposedNanos = nowNanos;
    }
  }

  /** When the ownership of a zone is planned next, and since when parts could be claimed there. */
  private static final class PlanningState {
    long nextPlanNanos;
    long claimableSinceNanos = Long.MAX_VALUE;
    int failures;

    void backOff(ProposalResult result, long nowNanos, AgentContext context) {
      boolean isStoreFailure =
          result == ProposalResult.UNAVAILABLE || result == ProposalResult.OUTCOME_UNKNOWN;
      failures = isStoreFailure ? Math.min(failures + 1, MAX_BACKOFF_SHIFT_BITS) : 0;
      nextPlanNanos = nowNanos + context.jitter(RETRY_DELAY_NANOS << failures);
    }
  }

  OwnershipProposer(AgentContext context, OwnershipTracker tracker) {
    this.context = context;
    this.tracker = tracker;
    this.handovers = new PendingHandovers(context);
  }

  void stop() {
    stopping = true;
  }

  /** Returns whether this VM owns no part and all its handovers are confirmed. */
  boolean isHandedOver() {
    for (ZoneOwnership ownership : tracker.zones()) {
      if (ownership.ownedPartCount() > 0 || pendingProposals.containsKey(ownership)) {
        return false;
      }
    }
    return handovers.allConfirmed();
  }

  /** Applies an ownership list, and returns whether it was newer than the known one. */
  boolean updateList(long nowNanos, OwnershipList list) {
    ZoneOwnership ownership = tracker.zoneOf(list.zone());
    long knownRevision = ownership.revision();
    boolean wasContinuous = ownership.isOwnershipContinuous(nowNanos);
    if (!ownership.update(list)) {
      retryPendingNow(ownership, nowNanos);
      return false;
    }
    if (!wasContinuous && list.revision() > 0) {
      tracker.loseParts(ownership, ownership.ownedParts(), knownRevision, list.owners());
    }
    boolean wasProposer = resolvePending(ownership, nowNanos);
    tracker.applyList(ownership, nowNanos);
    for (PendingHandovers.EarlyHandover early : handovers.removeApplicable(ownership)) {
      tracker.applyHandover(ownership, early.handover(), early.receivedNanos(), nowNanos);
    }
    if (wasProposer && knownRevision >= 0) {
      advertise(ownership, nowNanos);
    }
    return true;
  }

  /**
   * Resolves the pending proposal by a newer list, and returns whether there was one to resolve.
   */
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
   * Restarts the ownership of parts that this VM proposed to give away and still owns. Another VM
   * may have owned and leased them in between, so they wait for a handover or the takeover wait.
   */
  private void restartOwnership(ZoneOwnership ownership, PendingProposal pending, long nowNanos) {
    Set<Integer> uncertainParts = new HashSet<>(pending.givenParts);
    uncertainParts.retainAll(ownership.ownedParts());
    tracker.loseParts(
        ownership, uncertainParts, pending.proposal.expectedRevision(), ownership.list().owners());
    tracker.applyList(ownership, nowNanos);
  }

  private void handOverIfApplied(ZoneOwnership ownership, PendingProposal pending, long nowNanos) {
    boolean isRecent =
        nowNanos - pending.firstProposedNanos < context.settings.leaseDurationNanos() / 2;
    boolean isApplied = true;
    for (int part : pending.givenParts) {
      isApplied &= pending.proposal.owners().get(part).equals(ownership.ownerOf(part));
    }
    if (isRecent && isApplied) {
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

  /** Sends the known list to the other VMs of its zone. */
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

  /**
   * Applies the result of a proposal: sends handovers after a commit, unfreezes the parts if
   * nothing was written, and keeps them frozen while the result is unknown.
   */
  void handleResult(long nowNanos, OwnershipProposal proposal, ProposalResult result) {
    ZoneOwnership ownership = tracker.zoneOf(proposal.zone());
    PendingProposal pending = pendingProposals.get(ownership);
    if (pending == null || pending.proposal.proposalId() != proposal.proposalId()) {
      return;
    }
    pending.isInFlight = false;
    planningState(ownership).backOff(result, nowNanos, context);
    switch (result) {
      case COMMITTED -> applyCommitted(ownership, pending, nowNanos);
      case CONDITION_FAILED, UNAVAILABLE -> discardUnwritten(ownership, pending);
      case OUTCOME_UNKNOWN -> pending.hasUnknownResult = true;
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
    if (!pending.hasUnknownResult) {
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
    tracker.loseParts(
        ownership, pending.givenParts, proposal.expectedRevision() + 1, proposal.owners());
  }

  /** Tells the first owners of a zone whose row was absent that none of its permits is in use. */
  private void sendClaimHandovers(
      ZoneOwnership ownership, OwnershipProposal proposal, long nowNanos) {
    OwnershipPlanner.changedParts(List.of(), proposal.owners())
        .forEach((owner, parts) -> sendClaimHandover(ownership, owner, parts, nowNanos));
  }

  private void sendClaimHandover(
      ZoneOwnership ownership, VmIncarnation owner, List<Integer> parts, long nowNanos) {
    Handover handover =
        new Handover(
            handovers.nextId(),
            context.timestamps.currentId(nowNanos),
            ownership.zone,
            0,
            parts,
            List.of());
    if (owner.equals(context.self)) {
      acceptHandover(nowNanos, handover);
    } else {
      handovers.send(owner, handover, nowNanos);
    }
  }

  /** Applies a handover, or stores it until its ownership list arrives. */
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

  /** Resends handovers and makes the proposals that are due. */
  void proposeDueChanges(long nowNanos) {
    handovers.resendDue(nowNanos);
    for (ZoneOwnership ownership : tracker.zones()) {
      PlanningState state = planningState(ownership);
      if (ownership.list() != null && nowNanos >= state.nextPlanNanos) {
        state.nextPlanNanos = nowNanos + context.jitter(PLAN_INTERVAL_NANOS);
        planChange(ownership, state, nowNanos);
      }
    }
  }

  private PlanningState planningState(ZoneOwnership ownership) {
    return planningStates.computeIfAbsent(ownership, key -> new PlanningState());
  }

  private void planChange(ZoneOwnership ownership, PlanningState state, long nowNanos) {
    PendingProposal pending = pendingProposals.get(ownership);
    if (pending != null) {
      retryPending(ownership, pending, nowNanos);
      return;
    }
    List<VmIncarnation> candidates = candidateOwners(ownership);
    if (candidates.isEmpty()) {
      return;
    }
    if (proposeClaim(ownership, state, candidates, nowNanos)) {
      return;
    }
    if (ownership.ownedPartCount() > 0) {
      proposeRebalance(ownership, candidates, nowNanos);
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

  /**
   * Returns the VMs that may own parts of the zone: its own VMs, or the VMs of this zone if all of
   * its own are gone.
   */
  private List<VmIncarnation> candidateOwners(ZoneOwnership ownership) {
    List<VmIncarnation> candidates = context.membership.aliveIn(ownership.zone);
    if (!candidates.isEmpty() || ownership.zone.equals(context.zone)) {
      return candidates;
    }
    boolean isZoneLost = !context.membership.mayOtherVmRunIn(ownership.zone);
    return isZoneLost ? context.membership.aliveIn(context.zone) : List.of();
  }

  private boolean proposeClaim(
      ZoneOwnership ownership, PlanningState state, List<VmIncarnation> candidates, long nowNanos) {
    int rank = candidates.indexOf(context.self);
    List<VmIncarnation> owners = ownership.list().owners();
    List<VmIncarnation> claimedOwners =
        ownership.revision() == 0
            ? OwnershipPlanner.distributeEvenly(candidates)
            : OwnershipPlanner.reassign(owners, this::isGone, candidates);
    if (rank < 0 || claimedOwners.equals(owners)) {
      state.claimableSinceNanos = Long.MAX_VALUE;
      return false;
    }
    state.claimableSinceNanos = Math.min(state.claimableSinceNanos, nowNanos);
    if (nowNanos - state.claimableSinceNanos >= rank * RANK_DELAY_NANOS) {
      Purpose purpose = ownership.revision() == 0 ? Purpose.CLAIM : Purpose.TAKE_OVER;
      propose(ownership, new PendingProposal(purpose, Set.of(), nowNanos), claimedOwners, nowNanos);
      state.claimableSinceNanos = Long.MAX_VALUE;
    }
    return true;
  }

  private boolean isGone(VmIncarnation vm) {
    return !context.membership.mayRun(vm, context.guards);
  }

  private void proposeRebalance(
      ZoneOwnership ownership, List<VmIncarnation> candidates, long nowNanos) {
    List<VmIncarnation> owners = ownership.list().owners();
    List<VmIncarnation> newOwners = OwnershipPlanner.rebalance(owners, context.self, candidates);
    Set<Integer> givenParts = new HashSet<>();
    for (int part = 0; part < owners.size(); part++) {
      if (!owners.get(part).equals(newOwners.get(part)) && ownership.isOwned(part)) {
        givenParts.add(part);
      }
    }
    if (!givenParts.isEmpty()) {
      givenParts.forEach(part -> ownership.setFrozen(part, true));
      propose(
          ownership,
          new PendingProposal(Purpose.GIVE_AWAY, givenParts, nowNanos),
          newOwners,
          nowNanos);
    }
  }

  /** Proposes the known list unchanged; a commit confirms it. */
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
