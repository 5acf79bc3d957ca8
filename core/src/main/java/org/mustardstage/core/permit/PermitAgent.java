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
 * Decides which requests of one entry VM are granted a permit, and owns and leases permits on
 * behalf of this VM. It is a state machine without I/O: each event carries the time of a monotonic
 * clock that also advances while the machine is suspended, and returns actions that the driver must
 * execute in order. The driver must deliver a message only to the incarnation that it was sent to.
 */
public final class PermitAgent {
  private final AgentContext context;
  private final OwnershipTracker tracker;
  private final OwnershipProposer proposer;
  private final OwnershipConfirmer confirmer;
  private final LeaseManager leases;
  private final WaitQueue waiters;
  private final PeerRequests peers;
  private final PermitDispatcher dispatcher;
  private final LeaseRequester requester;
  private final PermitMaintenance maintenance;
  private long lastEventNanos = Long.MIN_VALUE;
  private boolean stopping;
  private boolean handoverDone;
  private long rejected;
  private long messagesReceived;

  /** Creates an agent that owns nothing and knows no limit. */
  public PermitAgent(
      PermitSettings settings, VmIncarnation self, ZoneId zone, RandomGenerator random) {
    this(settings, self, zone, random, new PermitGuards());
  }

  /**
   * Creates an agent with modified guards, so that tests can check that a broken guard is detected.
   */
  PermitAgent(
      PermitSettings settings,
      VmIncarnation self,
      ZoneId zone,
      RandomGenerator random,
      PermitGuards guards) {
    context = new AgentContext(settings, self, zone, random, guards);
    tracker = new OwnershipTracker(context);
    proposer = new OwnershipProposer(context, tracker);
    confirmer = new OwnershipConfirmer(context, tracker, proposer);
    leases = new LeaseManager(context, tracker);
    waiters = new WaitQueue(settings.maxQueuedRequests());
    peers = new PeerRequests(settings.maxQueuedRequests());
    dispatcher = new PermitDispatcher(context, leases, waiters, peers);
    requester = new LeaseRequester(context, waiters, peers);
    maintenance = new PermitMaintenance(context, tracker, leases, dispatcher, waiters, peers);
  }

  /** Returns the VM that this agent acts for. */
  public VmIncarnation self() {
    return context.self;
  }

  /** Applies the limits of the active manifest; an older version is ignored. */
  public List<PermitAction> updateLimits(long nowNanos, long version, List<Limit> limits) {
    beginEvent(nowNanos);
    if (version > context.limits.manifestVersion()) {
      Set<LimitId> moved = context.limits.update(version, limits);
      long movedUsableFromNanos = nowNanos + context.guards.takeoverWaitNanos(context.settings);
      for (LimitState limit : context.limits.all()) {
        long usableFromNanos = moved.contains(limit.id) ? movedUsableFromNanos : nowNanos;
        tracker.addPermits(limit, usableFromNanos, nowNanos);
      }
      maintenance.selectAllocators();
      maintenance.expire(nowNanos);
    }
    return endEvent(nowNanos);
  }

  /** Updates which VMs of all zones are believed alive or proven gone. */
  public List<PermitAction> updateMembers(long nowNanos, List<ZoneMember> members) {
    beginEvent(nowNanos);
    context.membership.update(members);
    Set<VmIncarnation> knownVms = context.membership.knownVms();
    context.timestamps.retainPeers(knownVms);
    peers.retainPeers(knownVms);
    maintenance.selectAllocators();
    return endEvent(nowNanos);
  }

  /** Applies the ownership list of a zone; an older revision is ignored. */
  public List<PermitAction> updateOwnership(long nowNanos, OwnershipList list) {
    beginEvent(nowNanos);
    applyList(nowNanos, list);
    return endEvent(nowNanos);
  }

  private void applyList(long nowNanos, OwnershipList list) {
    if (proposer.updateList(nowNanos, list)) {
      maintenance.selectAllocators();
      maintenance.expire(nowNanos);
    }
  }

  /** Applies the result of a proposal. */
  public List<PermitAction> handleProposalResult(
      long nowNanos, OwnershipProposal proposal, ProposalResult result) {
    beginEvent(nowNanos);
    proposer.handleResult(nowNanos, proposal, result);
    maintenance.expire(nowNanos);
    return endEvent(nowNanos);
  }

  /** Processes a message from another agent. */
  public List<PermitAction> handleMessage(
      long nowNanos, VmIncarnation from, PermitMessage message) {
    beginEvent(nowNanos);
    messagesReceived++;
    context.timestamps.recordPeerId(from, message.timestampId(), nowNanos);
    switch (message) {
      case PermitMessage.LeaseRequest request -> serveOrEnqueue(nowNanos, from, request);
      case PermitMessage.LeaseWithdrawal withdrawal -> withdrawRequest(from, withdrawal);
      case PermitMessage.LeaseTransfer transfer -> acceptTransfers(nowNanos, from, transfer);
      case PermitMessage.LeaseReturn returned -> acceptReturns(nowNanos, from, returned);
      case PermitMessage.LeaseRenewal renewal -> leases.renew(nowNanos, from, renewal);
      case PermitMessage.LeaseRenewed renewed -> leases.applyRenewals(renewed);
      case PermitMessage.PermitsWanted wanted -> offerIdlePermits(nowNanos, from, wanted);
      case PermitMessage.ConfirmOwnership request -> confirmer.respond(nowNanos, from, request);
      case PermitMessage.OwnershipConfirmed confirmed -> confirmer.recordConfirmation(confirmed);
      case PermitMessage.OwnershipAdvertised list -> applyAdvertisement(nowNanos, list);
      case PermitMessage.Handover handover -> acceptHandover(nowNanos, from, handover);
      case PermitMessage.HandoverReceived received ->
          proposer.confirmHandover(received.handoverId());
      case PermitMessage.StopAnnounced stop -> {
        context.membership.markStopping(from);
        maintenance.selectAllocators();
        maintenance.clearPermitsWantedBy(from);
      }
    }
    return endEvent(nowNanos);
  }

  private void applyAdvertisement(long nowNanos, PermitMessage.OwnershipAdvertised list) {
    if (list.revision() > 0 && list.owners().size() == OwnershipList.PART_COUNT) {
      applyList(nowNanos, new OwnershipList(list.zone(), list.revision(), list.owners()));
    }
  }

  private void serveOrEnqueue(
      long nowNanos, VmIncarnation from, PermitMessage.LeaseRequest message) {
    if (!peers.recordIfNewer(from, message.correlationId())) {
      return;
    }
    PeerRequests.PeerRequest request = new PeerRequests.PeerRequest(from, message, nowNanos);
    dispatcher.serveFromAvailable(nowNanos, request, message);
    if (request.wanted > 0) {
      peers.add(request);
      requester.scheduleRequests();
    }
  }

  private void withdrawRequest(VmIncarnation from, PermitMessage.LeaseWithdrawal withdrawal) {
    peers.withdraw(from, withdrawal.correlationId());
  }

  private void acceptTransfers(
      long nowNanos, VmIncarnation from, PermitMessage.LeaseTransfer transfer) {
    requester.recordTransfer(from, transfer.correlationId(), transfer.permits().size());
    long countedFromNanos = context.timestamps.timeOf(transfer.baseTimestampId());
    if (countedFromNanos == TimestampRegistry.UNKNOWN) {
      return;
    }
    for (LeasedPermit lease : transfer.permits()) {
      if (leases.acceptTransfer(nowNanos, from, countedFromNanos, lease)) {
        dispatcher.offer(nowNanos, context.limits.find(lease.limit()), lease.number());
      }
    }
  }

  private void acceptReturns(
      long nowNanos, VmIncarnation from, PermitMessage.LeaseReturn returned) {
    for (LeaseId id : returned.leases()) {
      if (leases.acceptReturn(nowNanos, from, id)) {
        dispatcher.offer(nowNanos, context.limits.find(id.limit()), id.number());
      }
    }
  }

  private void offerIdlePermits(
      long nowNanos, VmIncarnation from, PermitMessage.PermitsWanted wanted) {
    for (LimitId id : wanted.limits()) {
      LimitState limit = context.limits.find(id);
      if (limit != null) {
        limit.permitsWantedBy = from;
        limit.permitsWantedUntilNanos =
            nowNanos + Math.min(wanted.durationNanos(), context.settings.permitsWantedNanos());
        dispatcher.offerAll(nowNanos, limit);
      }
    }
  }

  private void acceptHandover(long nowNanos, VmIncarnation from, PermitMessage.Handover handover) {
    proposer.acceptHandover(nowNanos, handover);
    context.actions.send(
        from,
        new PermitMessage.HandoverReceived(
            handover.handoverId(), context.timestamps.currentId(nowNanos)));
    maintenance.expire(nowNanos);
  }

  /**
   * Requests a permit. The grant or rejection is among the actions of this call or of a later
   * event.
   */
  public List<PermitAction> acquire(long nowNanos, AcquireRequest request) {
    beginEvent(nowNanos);
    long useDeadlineNanos =
        Math.min(request.deadlineNanos(), nowNanos + context.settings.maxUseNanos());
    PermitRejectionReason rejection = rejectionReason(nowNanos, request);
    if (rejection != null) {
      reject(request.requestId(), rejection);
    } else if (!dispatcher.tryGrant(nowNanos, request, useDeadlineNanos)) {
      enqueue(nowNanos, request, useDeadlineNanos);
    }
    return endEvent(nowNanos);
  }

  private PermitRejectionReason rejectionReason(long nowNanos, AcquireRequest request) {
    if (stopping) {
      return PermitRejectionReason.STOPPING;
    }
    if (waiters.contains(request.requestId()) || dispatcher.holdsPermit(request.requestId())) {
      return PermitRejectionReason.DUPLICATE_REQUEST;
    }
    if (request.deadlineNanos() <= nowNanos) {
      return PermitRejectionReason.DEADLINE_PASSED;
    }
    return hasKnownLimit(request) ? null : PermitRejectionReason.UNKNOWN_LIMIT;
  }

  private boolean hasKnownLimit(AcquireRequest request) {
    for (LimitId id : request.candidates()) {
      LimitState limit = context.limits.find(id);
      if (limit != null && limit.permits() > 0) {
        return true;
      }
    }
    return false;
  }

  private void enqueue(long nowNanos, AcquireRequest request, long useDeadlineNanos) {
    if (request.waitDeadlineNanos() <= nowNanos) {
      reject(request.requestId(), PermitRejectionReason.WAIT_TIMEOUT);
    } else if (waiters.isFull()) {
      reject(request.requestId(), PermitRejectionReason.QUEUE_FULL);
    } else {
      waiters.add(Waiter.of(request, useDeadlineNanos, nowNanos));
      requester.scheduleRequests();
    }
  }

  private void reject(long requestId, PermitRejectionReason reason) {
    rejected++;
    context.actions.add(new Rejected(requestId, reason));
  }

  /**
   * Cancels a queued request. If the request has already been granted, the driver must release it
   * instead.
   */
  public List<PermitAction> cancel(long nowNanos, long requestId) {
    beginEvent(nowNanos);
    waiters.remove(requestId);
    return endEvent(nowNanos);
  }

  /**
   * Releases the permit of a request.
   *
   * @param slotIsFree whether the request has surely ended at the endpoint; if not, the permit
   *     stays unusable until the deadline and its margin have passed
   */
  public List<PermitAction> release(long nowNanos, long requestId, boolean slotIsFree) {
    beginEvent(nowNanos);
    dispatcher.release(nowNanos, requestId, slotIsFree);
    return endEvent(nowNanos);
  }

  /** Runs the periodic tasks that are due; the driver must call it at least every 20 ms. */
  public List<PermitAction> runDueTasks(long nowNanos) {
    beginEvent(nowNanos);
    for (Waiter waiter : waiters.removeTimedOut(nowNanos)) {
      reject(waiter.requestId(), PermitRejectionReason.WAIT_TIMEOUT);
    }
    peers.removeExpired(nowNanos);
    maintenance.runDueTasks(nowNanos);
    confirmer.requestDueConfirmations(nowNanos);
    proposer.proposeDueChanges(nowNanos);
    requester.requestFromOwners(nowNanos);
    requester.scheduleRequests();
    if (stopping) {
      continueStop(nowNanos);
    }
    return endEvent(nowNanos);
  }

  /**
   * Starts the graceful stop: all requests are rejected, and leases and owned parts go to other
   * VMs. Ends with {@link PermitAction.HandoverDone} when no permit is in use and all handovers are
   * confirmed, which requires that the store and a successor are reachable; the driver limits how
   * long it waits for that.
   */
  public List<PermitAction> stop(long nowNanos) {
    beginEvent(nowNanos);
    if (!stopping) {
      stopping = true;
      proposer.stop();
      context.membership.markStopping(context.self);
      for (Waiter waiter : new ArrayList<>(waiters.all())) {
        waiters.remove(waiter.requestId());
        reject(waiter.requestId(), PermitRejectionReason.STOPPING);
      }
      maintenance.selectAllocators();
      continueStop(nowNanos);
    }
    return endEvent(nowNanos);
  }

  private void continueStop(long nowNanos) {
    maintenance.announceStop(nowNanos);
    if (!handoverDone && proposer.isHandedOver() && maintenance.hasNoPermits()) {
      handoverDone = true;
      context.actions.add(new HandoverDone());
    }
  }

  private void beginEvent(long nowNanos) {
    boolean isPaused =
        lastEventNanos != Long.MIN_VALUE
            && context.guards.isPause(context.settings, nowNanos - lastEventNanos);
    if (isPaused) {
      tracker.zones().forEach(ownership -> ownership.invalidateConfirmation(nowNanos));
    }
    lastEventNanos = nowNanos;
  }

  private List<PermitAction> endEvent(long nowNanos) {
    requester.sendDue(nowNanos);
    leases.sendPending(nowNanos);
    return context.actions.drain();
  }

  /** Returns counts of the current state. */
  public PermitStatus status(long nowNanos) {
    return new StatusCounter(context.limits, nowNanos)
        .count(
            tracker.zoneOf(context.zone),
            new StatusCounter.Totals(
                dispatcher.inUseCount(),
                waiters.size(),
                peers.size(),
                dispatcher.grantedCount(),
                rejected,
                context.actions.messagesSent(),
                messagesReceived));
  }
}
