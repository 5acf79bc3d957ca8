package org.mustardstage.core.permit;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.permit.PermitAction.HandoverDone;
import org.mustardstage.core.permit.PermitAction.Rejected;
import org.mustardstage.core.permit.PermitMessage.LeaseId;
import org.mustardstage.core.permit.PermitMessage.LeasedPermit;
import org.mustardstage.core.permit.WaitQueue.Waiter;

/**
 * Decides which requests of one entry VM get a permit, and takes the part of this VM in owning and
 * leasing permits. It is driven by events with the time of a monotonic clock that also counts while
 * the machine is suspended, and answers with actions, to be carried out in their order. A message
 * must reach only the incarnation that it was sent to.
 */
public final class PermitAgent {
  private final AgentContext context;
  private final Tenure tenure;
  private final OwnershipKeeper keeper;
  private final OwnershipConfirmer confirmer;
  private final LeaseBook leases;
  private final WaitQueue waiters;
  private final PeerRequests peers;
  private final PermitDispatch dispatch;
  private final LeaseAsker asker;
  private final PermitUpkeep upkeep;
  private long lastEventNanos = Long.MIN_VALUE;
  private boolean stopping;
  private boolean handoverDone;
  private long notGranted;
  private long messagesReceived;

  /** Creates an agent that owns nothing and knows no limit. */
  public PermitAgent(
      PermitSettings settings, VmIncarnation self, ZoneId zone, RandomGenerator random) {
    this(settings, self, zone, random, new PermitGuards());
  }

  /** Creates an agent with other guards, for tests of the tests. */
  PermitAgent(
      PermitSettings settings,
      VmIncarnation self,
      ZoneId zone,
      RandomGenerator random,
      PermitGuards guards) {
    context = new AgentContext(settings, self, zone, random, guards);
    tenure = new Tenure(context);
    keeper = new OwnershipKeeper(context, tenure);
    confirmer = new OwnershipConfirmer(context, tenure, keeper);
    leases = new LeaseBook(context, tenure);
    waiters = new WaitQueue(settings.maxQueuedRequests());
    peers = new PeerRequests(settings.maxQueuedRequests());
    dispatch = new PermitDispatch(context, leases, waiters, peers);
    asker = new LeaseAsker(context, waiters, peers);
    upkeep = new PermitUpkeep(context, tenure, leases, dispatch, waiters, peers);
  }

  /** Returns the VM that this agent acts for. */
  public VmIncarnation self() {
    return context.self;
  }

  /** Takes over the limits of the manifest in force; an older version is ignored. */
  public List<PermitAction> updateLimits(long nowNanos, long version, List<Limit> limits) {
    begin(nowNanos);
    if (version > context.table.version()) {
      Set<LimitId> moved = context.table.update(version, limits);
      long movedUsableNanos = nowNanos + context.guards.takeoverWaitNanos(context.settings);
      for (LimitState limit : context.table.all()) {
        long usableNanos = moved.contains(limit.id) ? movedUsableNanos : nowNanos;
        tenure.addPermits(limit, usableNanos, nowNanos);
      }
      upkeep.chooseAllocators();
      upkeep.expire(nowNanos);
    }
    return end(nowNanos);
  }

  /** Takes over which VMs are believed alive or proven gone, of all zones. */
  public List<PermitAction> updateMembers(long nowNanos, List<ZoneMember> members) {
    begin(nowNanos);
    context.members.update(members);
    Set<VmIncarnation> known = context.members.known();
    context.marks.retain(known);
    peers.retain(known);
    upkeep.chooseAllocators();
    return end(nowNanos);
  }

  /** Takes over the ownership list of a zone; an older revision is ignored. */
  public List<PermitAction> updateOwnership(long nowNanos, OwnershipList list) {
    begin(nowNanos);
    followList(nowNanos, list);
    return end(nowNanos);
  }

  private void followList(long nowNanos, OwnershipList list) {
    if (keeper.onList(nowNanos, list)) {
      upkeep.chooseAllocators();
      upkeep.expire(nowNanos);
    }
  }

  /** Takes over the end of a proposal. */
  public List<PermitAction> handleProposalResult(
      long nowNanos, OwnershipProposal proposal, ProposalResult end) {
    begin(nowNanos);
    keeper.onProposalEnd(nowNanos, proposal, end);
    upkeep.expire(nowNanos);
    return end(nowNanos);
  }

  /** Takes over a message of another agent. */
  public List<PermitAction> handleMessage(
      long nowNanos, VmIncarnation from, PermitMessage message) {
    begin(nowNanos);
    messagesReceived++;
    context.marks.received(from, message.timestampId(), nowNanos);
    switch (message) {
      case PermitMessage.LeaseRequest request -> onRequest(nowNanos, from, request);
      case PermitMessage.LeaseWithdrawal withdrawal -> onWithdrawal(from, withdrawal);
      case PermitMessage.LeaseTransfer transfer -> onTransfer(nowNanos, from, transfer);
      case PermitMessage.LeaseReturn returned -> onReturn(nowNanos, from, returned);
      case PermitMessage.LeaseRenewal renewal -> leases.prolong(nowNanos, from, renewal);
      case PermitMessage.LeaseRenewed renewed -> leases.onProlonged(renewed);
      case PermitMessage.PermitsWanted wanted -> onWanted(nowNanos, from, wanted);
      case PermitMessage.ConfirmOwnership asked -> confirmer.onAsked(nowNanos, from, asked);
      case PermitMessage.OwnershipConfirmed confirmed -> confirmer.onConfirmed(confirmed);
      case PermitMessage.OwnershipAdvertised list -> onAdvertised(nowNanos, list);
      case PermitMessage.Handover handover -> onHandover(nowNanos, from, handover);
      case PermitMessage.HandoverReceived received ->
          keeper.onHandoverReceived(received.handoverId());
      case PermitMessage.StopAnnounced stop -> {
        context.members.announceStop(from);
        upkeep.chooseAllocators();
        upkeep.forgetCallsOf(from);
      }
    }
    return end(nowNanos);
  }

  private void onAdvertised(long nowNanos, PermitMessage.OwnershipAdvertised list) {
    if (list.revision() > 0 && list.owners().size() == OwnershipList.PART_COUNT) {
      followList(nowNanos, new OwnershipList(list.zone(), list.revision(), list.owners()));
    }
  }

  private void onRequest(long nowNanos, VmIncarnation from, PermitMessage.LeaseRequest message) {
    if (!peers.isNew(from, message.correlationId())) {
      return;
    }
    PeerRequests.PeerRequest request = new PeerRequests.PeerRequest(from, message, nowNanos);
    dispatch.serveNow(nowNanos, request, message);
    if (request.wanted > 0) {
      peers.add(request);
      asker.markDue();
    }
  }

  private void onWithdrawal(VmIncarnation from, PermitMessage.LeaseWithdrawal withdrawal) {
    peers.withdraw(from, withdrawal.correlationId());
  }

  private void onTransfer(long nowNanos, VmIncarnation from, PermitMessage.LeaseTransfer transfer) {
    asker.onAnswer(from, transfer.correlationId(), transfer.permits().size());
    long countedFromNanos = context.marks.timeOf(transfer.baseTimestampId());
    if (countedFromNanos == ClockMarks.UNKNOWN) {
      return;
    }
    for (LeasedPermit lease : transfer.permits()) {
      if (leases.accept(nowNanos, from, countedFromNanos, lease)) {
        dispatch.offer(nowNanos, context.table.find(lease.limit()), lease.number());
      }
    }
  }

  private void onReturn(long nowNanos, VmIncarnation from, PermitMessage.LeaseReturn returned) {
    for (LeaseId name : returned.leases()) {
      if (leases.takeBack(nowNanos, from, name)) {
        dispatch.offer(nowNanos, context.table.find(name.limit()), name.number());
      }
    }
  }

  private void onWanted(long nowNanos, VmIncarnation from, PermitMessage.PermitsWanted wanted) {
    for (LimitId id : wanted.limits()) {
      LimitState limit = context.table.find(id);
      if (limit != null) {
        limit.wantedBy = from;
        limit.wantedUntilNanos =
            nowNanos + Math.min(wanted.durationNanos(), context.settings.permitsWantedNanos());
        dispatch.offerAll(nowNanos, limit);
      }
    }
  }

  private void onHandover(long nowNanos, VmIncarnation from, PermitMessage.Handover handover) {
    keeper.onHandover(nowNanos, handover);
    context.outbox.send(
        from,
        new PermitMessage.HandoverReceived(handover.handoverId(), context.marks.mark(nowNanos)));
    upkeep.expire(nowNanos);
  }

  /** Asks for a permit. The answer is among the actions of this call or of a later one. */
  public List<PermitAction> acquire(long nowNanos, AcquireRequest request) {
    begin(nowNanos);
    long useUntilNanos =
        Math.min(request.deadlineNanos(), nowNanos + context.settings.maxUseNanos());
    PermitRejectionReason refusal = refusalOf(nowNanos, request);
    if (refusal != null) {
      refuse(request.requestId(), refusal);
    } else if (!dispatch.grantNow(nowNanos, request, useUntilNanos)) {
      enqueue(nowNanos, request, useUntilNanos);
    }
    return end(nowNanos);
  }

  private PermitRejectionReason refusalOf(long nowNanos, AcquireRequest request) {
    if (stopping) {
      return PermitRejectionReason.STOPPING;
    }
    if (waiters.contains(request.requestId()) || dispatch.isInUse(request.requestId())) {
      return PermitRejectionReason.DUPLICATE_REQUEST;
    }
    if (request.deadlineNanos() <= nowNanos) {
      return PermitRejectionReason.DEADLINE_PASSED;
    }
    return hasKnownLimit(request) ? null : PermitRejectionReason.UNKNOWN_LIMIT;
  }

  private boolean hasKnownLimit(AcquireRequest request) {
    for (LimitId id : request.candidates()) {
      LimitState limit = context.table.find(id);
      if (limit != null && limit.permits() > 0) {
        return true;
      }
    }
    return false;
  }

  private void enqueue(long nowNanos, AcquireRequest request, long useUntilNanos) {
    if (request.waitDeadlineNanos() <= nowNanos) {
      refuse(request.requestId(), PermitRejectionReason.WAIT_TIMEOUT);
    } else if (waiters.isFull()) {
      refuse(request.requestId(), PermitRejectionReason.QUEUE_FULL);
    } else {
      waiters.add(Waiter.of(request, useUntilNanos, nowNanos));
      asker.markDue();
    }
  }

  private void refuse(long requestId, PermitRejectionReason reason) {
    notGranted++;
    context.outbox.add(new Rejected(requestId, reason));
  }

  /** Gives up a request that still waits. One that was granted meanwhile has to be released. */
  public List<PermitAction> cancel(long nowNanos, long requestId) {
    begin(nowNanos);
    waiters.remove(requestId);
    return end(nowNanos);
  }

  /**
   * Ends the use of a permit.
   *
   * @param slotIsFree whether the request surely runs no more; if not, the permit stays unusable
   *     until the deadline and its margin have passed
   */
  public List<PermitAction> release(long nowNanos, long requestId, boolean slotIsFree) {
    begin(nowNanos);
    dispatch.release(nowNanos, requestId, slotIsFree);
    return end(nowNanos);
  }

  /** Does what is due; to be called at least every 20 ms. */
  public List<PermitAction> runDueTasks(long nowNanos) {
    begin(nowNanos);
    for (Waiter waiter : waiters.removeGaveUp(nowNanos)) {
      refuse(waiter.requestId(), PermitRejectionReason.WAIT_TIMEOUT);
    }
    peers.expire(nowNanos);
    upkeep.onTick(nowNanos);
    confirmer.onTick(nowNanos);
    keeper.onTick(nowNanos);
    asker.askOwners(nowNanos);
    asker.markDue();
    if (stopping) {
      continueStop(nowNanos);
    }
    return end(nowNanos);
  }

  /**
   * Starts the graceful stop: no request is granted any more, and leases, parts and permits go to
   * other VMs. Ends with {@link PermitAction.HandoverDone} when all uses have ended and the store
   * and a successor were reached; the driver bounds how long it waits for that.
   */
  public List<PermitAction> stop(long nowNanos) {
    begin(nowNanos);
    if (!stopping) {
      stopping = true;
      keeper.stop();
      context.members.announceStop(context.self);
      for (Waiter waiter : new ArrayList<>(waiters.all())) {
        waiters.remove(waiter.requestId());
        refuse(waiter.requestId(), PermitRejectionReason.STOPPING);
      }
      upkeep.chooseAllocators();
      continueStop(nowNanos);
    }
    return end(nowNanos);
  }

  private void continueStop(long nowNanos) {
    upkeep.announceStop(nowNanos);
    if (!handoverDone && keeper.isDone() && upkeep.isEmptyHanded()) {
      handoverDone = true;
      context.outbox.add(new HandoverDone());
    }
  }

  private void begin(long nowNanos) {
    boolean isPaused =
        lastEventNanos != Long.MIN_VALUE
            && context.guards.isPause(context.settings, nowNanos - lastEventNanos);
    if (isPaused) {
      tenure.zones().forEach(ownership -> ownership.onPause(nowNanos));
    }
    lastEventNanos = nowNanos;
  }

  private List<PermitAction> end(long nowNanos) {
    asker.onEventEnd(nowNanos);
    leases.flush(nowNanos);
    return context.outbox.drain();
  }

  /** Returns counts of the present state. */
  public PermitStatus status(long nowNanos) {
    return new StatusCounter(context.table, nowNanos)
        .count(
            tenure.zoneOf(context.zone),
            new StatusCounter.Totals(
                dispatch.countInUse(),
                waiters.size(),
                peers.size(),
                dispatch.countGranted(),
                notGranted,
                context.outbox.messagesSent(),
                messagesReceived));
  }
}
