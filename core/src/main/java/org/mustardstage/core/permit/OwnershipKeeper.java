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
final class OwnershipKeeper {
  private static final long PLAN_NANOS = 100_000_000L;
  private static final long RANK_DELAY_NANOS = 300_000_000L;
  private static final long RETRY_NANOS = 100_000_000L;
  private static final int MAX_BACK_OFF_SHIFT_BITS = 5;

  private final AgentContext context;
  private final Tenure tenure;
  private final Handovers handovers;
  private final Map<ZoneOwnership, Pending> pendings = new HashMap<>();
  private final Map<ZoneOwnership, Plan> plans = new HashMap<>();
  private boolean stopping;
  private long lastProposalId;

  /** Why a proposal is made. */
  private enum Purpose {
    CLAIM,
    TAKE_OVER,
    GIVE,
    CONFIRM
  }

  /** A proposal whose end is not known. */
  private static final class Pending {
    final Purpose purpose;
    final Set<Integer> given;
    final long firstProposedNanos;
    OwnershipProposal proposal;
    long proposedNanos;
    boolean hasUnknownOutcome;
    boolean isUnderWay = true;

    Pending(Purpose purpose, Set<Integer> given, long nowNanos) {
      this.purpose = purpose;
      this.given = given;
      this.firstProposedNanos = nowNanos;
    }
  }

  /** When a zone is looked at next, and since when something is to be claimed there. */
  private static final class Plan {
    long dueNanos;
    long claimableSinceNanos = Long.MAX_VALUE;
    int failures;

    void backOff(ProposalResult end, long nowNanos, AgentContext context) {
      boolean isStoreLost =
          end == ProposalResult.UNAVAILABLE || end == ProposalResult.OUTCOME_UNKNOWN;
      failures = isStoreLost ? Math.min(failures + 1, MAX_BACK_OFF_SHIFT_BITS) : 0;
      dueNanos = nowNanos + context.jitter(RETRY_NANOS << failures);
    }
  }

  OwnershipKeeper(AgentContext context, Tenure tenure) {
    this.context = context;
    this.tenure = tenure;
    this.handovers = new Handovers(context);
  }

  void stop() {
    stopping = true;
  }

  /** Returns whether this VM owns nothing and all handovers are confirmed. */
  boolean isDone() {
    for (ZoneOwnership ownership : tenure.zones()) {
      if (ownership.countOwned() > 0 || pendings.containsKey(ownership)) {
        return false;
      }
    }
    return handovers.isDone();
  }

  /** Takes over a list; returns whether it was newer than the known one. */
  boolean onList(long nowNanos, OwnershipList list) {
    ZoneOwnership ownership = tenure.zoneOf(list.zone());
    long knownRevision = ownership.revision();
    boolean isTenureSure = ownership.isTenureSure(nowNanos);
    if (!ownership.update(list)) {
      retryUnknown(ownership, nowNanos);
      return false;
    }
    if (!isTenureSure && list.revision() > 0) {
      tenure.loseParts(ownership, ownership.ownedParts(), knownRevision, list.owners());
    }
    boolean isProposer = settlePending(ownership, nowNanos);
    tenure.follow(ownership, nowNanos);
    for (Handovers.Early early : handovers.takeEarly(ownership)) {
      tenure.apply(ownership, early.handover(), early.receivedNanos(), nowNanos);
    }
    if (isProposer && knownRevision >= 0) {
      advertise(ownership, nowNanos);
    }
    return true;
  }

  /** Settles a proposal by a newer list; returns whether this VM had one under way. */
  private boolean settlePending(ZoneOwnership ownership, long nowNanos) {
    Pending pending = pendings.get(ownership);
    if (pending == null) {
      return false;
    }
    if (!context.guards.mayUnfreeze(ownership.revision(), pending.proposal.expectedRevision())) {
      return false;
    }
    if (pending.purpose == Purpose.GIVE) {
      handOverIfTaken(ownership, pending, nowNanos);
    }
    if (!pending.isUnderWay) {
      pendings.remove(ownership);
      regain(ownership, pending, nowNanos);
    }
    return true;
  }

  /**
   * Starts a new tenure of parts that may have had another owner since they were to be given away.
   */
  private void regain(ZoneOwnership ownership, Pending pending, long nowNanos) {
    Set<Integer> doubtful = new HashSet<>(pending.given);
    doubtful.retainAll(ownership.ownedParts());
    tenure.loseParts(
        ownership, doubtful, pending.proposal.expectedRevision(), ownership.list().owners());
    tenure.follow(ownership, nowNanos);
  }

  private void handOverIfTaken(ZoneOwnership ownership, Pending pending, long nowNanos) {
    boolean isRecent =
        nowNanos - pending.firstProposedNanos < context.settings.leaseDurationNanos() / 2;
    boolean isTaken = true;
    for (int part : pending.given) {
      isTaken &= pending.proposal.owners().get(part).equals(ownership.ownerOf(part));
    }
    if (isRecent && isTaken) {
      handOver(ownership, pending, nowNanos);
    }
  }

  private static void unfreeze(ZoneOwnership ownership, Pending pending) {
    pending.given.forEach(part -> ownership.setFrozen(part, false));
  }

  private void retryUnknown(ZoneOwnership ownership, long nowNanos) {
    Pending pending = pendings.get(ownership);
    if (pending != null && !pending.isUnderWay) {
      planOf(ownership).dueNanos = nowNanos;
    }
  }

  /** Sends the known list to the VMs of its zone. */
  private void advertise(ZoneOwnership ownership, long nowNanos) {
    for (VmIncarnation vm : context.members.aliveIn(ownership.zone)) {
      if (!vm.equals(context.self)) {
        advertiseTo(vm, ownership, nowNanos);
      }
    }
  }

  /** Sends the known list to one VM. */
  void advertiseTo(VmIncarnation vm, ZoneOwnership ownership, long nowNanos) {
    OwnershipList list = ownership.list();
    context.outbox.send(
        vm,
        new PermitMessage.OwnershipAdvertised(
            context.marks.mark(nowNanos), list.zone(), list.revision(), list.owners()));
  }

  /** Takes over the end of a proposal. */
  void onProposalEnd(long nowNanos, OwnershipProposal proposal, ProposalResult end) {
    ZoneOwnership ownership = tenure.zoneOf(proposal.zone());
    Pending pending = pendings.get(ownership);
    if (pending == null || pending.proposal.proposalId() != proposal.proposalId()) {
      return;
    }
    pending.isUnderWay = false;
    planOf(ownership).backOff(end, nowNanos, context);
    switch (end) {
      case COMMITTED -> onCommitted(ownership, pending, nowNanos);
      case CONDITION_FAILED, UNAVAILABLE -> onNotWritten(ownership, pending);
      case OUTCOME_UNKNOWN -> pending.hasUnknownOutcome = true;
    }
    if (ownership.revision() > proposal.expectedRevision()) {
      settlePending(ownership, nowNanos);
      tenure.follow(ownership, nowNanos);
    }
  }

  private void onCommitted(ZoneOwnership ownership, Pending pending, long nowNanos) {
    pendings.remove(ownership);
    ownership.confirm(pending.proposedNanos);
    switch (pending.purpose) {
      case CLAIM -> handOverClaim(ownership, pending.proposal, nowNanos);
      case GIVE -> handOver(ownership, pending, nowNanos);
      case TAKE_OVER, CONFIRM -> {}
    }
  }

  private void onNotWritten(ZoneOwnership ownership, Pending pending) {
    if (!pending.hasUnknownOutcome) {
      pendings.remove(ownership);
      unfreeze(ownership, pending);
    }
  }

  private void handOver(ZoneOwnership ownership, Pending pending, long nowNanos) {
    OwnershipProposal proposal = pending.proposal;
    Map<VmIncarnation, Set<Integer>> byOwner = new HashMap<>();
    for (int part : pending.given) {
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
                    context.marks.mark(nowNanos),
                    ownership.zone,
                    proposal.expectedRevision(),
                    List.copyOf(parts),
                    tenure.describe(ownership, parts, nowNanos)),
                nowNanos));
    tenure.loseParts(ownership, pending.given, proposal.expectedRevision() + 1, proposal.owners());
  }

  /** Tells the owners of a row that was absent that no permit is in use. */
  private void handOverClaim(ZoneOwnership ownership, OwnershipProposal proposal, long nowNanos) {
    OwnershipPlanner.changes(List.of(), proposal.owners())
        .forEach((owner, parts) -> handOverClaimed(ownership, owner, parts, nowNanos));
  }

  private void handOverClaimed(
      ZoneOwnership ownership, VmIncarnation owner, List<Integer> parts, long nowNanos) {
    Handover handover =
        new Handover(
            handovers.nextId(), context.marks.mark(nowNanos), ownership.zone, 0, parts, List.of());
    if (owner.equals(context.self)) {
      onHandover(nowNanos, handover);
    } else {
      handovers.send(owner, handover, nowNanos);
    }
  }

  /** Takes over a handover. */
  void onHandover(long nowNanos, Handover handover) {
    ZoneOwnership ownership = tenure.zoneOf(handover.zone());
    if (ownership.revision() <= handover.expectedRevision()) {
      handovers.keepEarly(handover, nowNanos);
    } else {
      tenure.apply(ownership, handover, nowNanos, nowNanos);
    }
  }

  void onHandoverReceived(long handoverId) {
    handovers.onReceived(handoverId);
  }

  /** Makes the proposals that are due. */
  void onTick(long nowNanos) {
    handovers.onTick(nowNanos);
    for (ZoneOwnership ownership : tenure.zones()) {
      Plan plan = planOf(ownership);
      if (ownership.list() != null && nowNanos >= plan.dueNanos) {
        plan.dueNanos = nowNanos + context.jitter(PLAN_NANOS);
        plan(ownership, plan, nowNanos);
      }
    }
  }

  private Plan planOf(ZoneOwnership ownership) {
    return plans.computeIfAbsent(ownership, key -> new Plan());
  }

  private void plan(ZoneOwnership ownership, Plan plan, long nowNanos) {
    Pending pending = pendings.get(ownership);
    if (pending != null) {
      continuePending(ownership, pending, nowNanos);
      return;
    }
    List<VmIncarnation> vms = candidates(ownership);
    if (vms.isEmpty()) {
      return;
    }
    if (planClaim(ownership, plan, vms, nowNanos)) {
      return;
    }
    if (ownership.countOwned() > 0) {
      planGift(ownership, vms, nowNanos);
    }
  }

  private void continuePending(ZoneOwnership ownership, Pending pending, long nowNanos) {
    if (pending.isUnderWay) {
      return;
    }
    if (ownership.revision() > pending.proposal.expectedRevision()) {
      settlePending(ownership, nowNanos);
    } else {
      propose(ownership, pending, pending.proposal.owners(), nowNanos);
    }
  }

  /** Returns the VMs that may own parts: those of the zone, or, with none left, of this zone. */
  private List<VmIncarnation> candidates(ZoneOwnership ownership) {
    List<VmIncarnation> vms = context.members.aliveIn(ownership.zone);
    if (!vms.isEmpty() || ownership.zone.equals(context.zone)) {
      return vms;
    }
    boolean isLost = !context.members.anotherMayRunIn(ownership.zone);
    return isLost ? context.members.aliveIn(context.zone) : List.of();
  }

  private boolean planClaim(
      ZoneOwnership ownership, Plan plan, List<VmIncarnation> vms, long nowNanos) {
    int rank = vms.indexOf(context.self);
    List<VmIncarnation> owners = ownership.list().owners();
    List<VmIncarnation> claimed =
        ownership.revision() == 0
            ? OwnershipPlanner.spread(vms)
            : OwnershipPlanner.replace(owners, this::isGone, vms);
    if (rank < 0 || claimed.equals(owners)) {
      plan.claimableSinceNanos = Long.MAX_VALUE;
      return false;
    }
    plan.claimableSinceNanos = Math.min(plan.claimableSinceNanos, nowNanos);
    if (nowNanos - plan.claimableSinceNanos >= rank * RANK_DELAY_NANOS) {
      Purpose purpose = ownership.revision() == 0 ? Purpose.CLAIM : Purpose.TAKE_OVER;
      propose(ownership, new Pending(purpose, Set.of(), nowNanos), claimed, nowNanos);
      plan.claimableSinceNanos = Long.MAX_VALUE;
    }
    return true;
  }

  private boolean isGone(VmIncarnation vm) {
    return !context.members.mayRun(vm, context.guards);
  }

  private void planGift(ZoneOwnership ownership, List<VmIncarnation> vms, long nowNanos) {
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
      propose(ownership, new Pending(Purpose.GIVE, given, nowNanos), changed, nowNanos);
    }
  }

  /** Writes the list unchanged, which confirms it when that succeeds. */
  void proposeUnchanged(ZoneOwnership ownership, long nowNanos) {
    if (!pendings.containsKey(ownership)) {
      Pending pending = new Pending(Purpose.CONFIRM, Set.of(), nowNanos);
      propose(ownership, pending, new ArrayList<>(ownership.list().owners()), nowNanos);
    }
  }

  private void propose(
      ZoneOwnership ownership, Pending pending, List<VmIncarnation> owners, long nowNanos) {
    pending.proposal =
        new OwnershipProposal(++lastProposalId, ownership.zone, ownership.revision(), owners);
    pending.proposedNanos = nowNanos;
    pending.isUnderWay = true;
    pendings.put(ownership, pending);
    context.outbox.add(new PermitAction.ProposeOwnership(pending.proposal));
  }

  /** Returns whether this VM is stopping. */
  boolean isStopping() {
    return stopping;
  }
}
