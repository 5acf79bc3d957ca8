package org.mustardstage.entry.control;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.Service;
import org.mustardstage.core.member.MemberStatus;
import org.mustardstage.core.member.MemberView;
import org.mustardstage.core.permit.AcquireRequest;
import org.mustardstage.core.permit.Limit;
import org.mustardstage.core.permit.LimitId;
import org.mustardstage.core.permit.OwnershipProposal;
import org.mustardstage.core.permit.Permit;
import org.mustardstage.core.permit.PermitAction;
import org.mustardstage.core.permit.PermitAgent;
import org.mustardstage.core.permit.PermitMessage;
import org.mustardstage.core.permit.PermitRejectionReason;
import org.mustardstage.core.permit.PermitStatus;
import org.mustardstage.core.permit.ProposalResult;
import org.mustardstage.core.permit.ZoneMember;
import org.mustardstage.entry.log.Event;
import org.mustardstage.entry.log.EventLog;
import org.mustardstage.entry.platform.PlatformFailure;
import org.mustardstage.entry.platform.Row;
import org.mustardstage.entry.platform.TableService;
import org.mustardstage.entry.platform.Transaction;
import org.mustardstage.entry.platform.TransactionResult;

/**
 * Connects a {@link PermitAgent} to the network, the platform and the clock: feeds it events and
 * executes the actions that it returns. Used on the control thread only.
 */
final class PermitDriver {
  private static final long OWNERSHIP_READ_INTERVAL_NANOS = Duration.ofSeconds(2).toNanos();

  private final PermitAgent agent;
  private final TableService table;
  private final LongSupplier clock;
  private final ZoneId zone;
  private final MessageSender messageSender;
  private final Map<Long, AcquireCallback> callbacks = new HashMap<>();
  private Optional<Runnable> onHandoverDone = Optional.empty();
  private long ownershipReadNanos = Long.MIN_VALUE / 2;
  private long listRevision = -1;

  /** Receives the result of an acquire request. */
  interface AcquireCallback {
    /** Called when a permit is granted, to be used before {@code useDeadlineNanos}. */
    void onGranted(Permit permit, long useDeadlineNanos);

    /** Called when the request is rejected. */
    void onRejected(PermitRejectionReason reason);
  }

  /** Sends permit messages to other entry VMs. */
  interface MessageSender {
    /** Sends {@code message} if the incarnation {@code to} is a known member. */
    void send(VmIncarnation to, PermitMessage message);
  }

  PermitDriver(
      PermitAgent agent,
      TableService table,
      LongSupplier clock,
      ZoneId zone,
      MessageSender messageSender) {
    this.agent = agent;
    this.table = table;
    this.clock = clock;
    this.zone = zone;
    this.messageSender = messageSender;
  }

  void updateLimits(long version, Manifest manifest) {
    ImmutableList.Builder<Limit> limits = ImmutableList.builder();
    for (Service service : manifest.services()) {
      for (Endpoint endpoint : service.endpoints()) {
        limits.add(new Limit(LimitId.slotsOf(endpoint.id()), endpoint.zone(), endpoint.slots()));
      }
    }
    run(agent.updateLimits(clock.getAsLong(), version, limits.build()));
  }

  void updateMembers(MemberView view) {
    List<ZoneMember> members = view.statuses().stream().map(PermitDriver::toZoneMember).toList();
    run(agent.updateMembers(clock.getAsLong(), members));
  }

  private static ZoneMember toZoneMember(MemberStatus status) {
    return new ZoneMember(
        status.member().incarnation(),
        status.member().zone(),
        status.isAlive() && !status.member().leaving(),
        status.provenGone());
  }

  void handleMessage(VmIncarnation from, PermitMessage message) {
    run(agent.handleMessage(clock.getAsLong(), from, message));
  }

  void acquire(AcquireRequest request, AcquireCallback callback) {
    callbacks.put(request.requestId(), callback);
    run(agent.acquire(clock.getAsLong(), request));
  }

  void cancel(long requestId) {
    callbacks.remove(requestId);
    run(agent.cancel(clock.getAsLong(), requestId));
  }

  void release(long requestId, boolean slotIsFree) {
    run(agent.release(clock.getAsLong(), requestId, slotIsFree));
  }

  PermitStatus status() {
    return agent.status(clock.getAsLong());
  }

  void runDueTasks() {
    long nowNanos = clock.getAsLong();
    run(agent.runDueTasks(nowNanos));
    if (nowNanos - ownershipReadNanos >= OWNERSHIP_READ_INTERVAL_NANOS) {
      readOwnership();
    }
  }

  /** Hands over all permits and ownerships, then runs {@code done}. */
  void handOver(Runnable done) {
    onHandoverDone = Optional.of(done);
    run(agent.stop(clock.getAsLong()));
  }

  private void run(List<PermitAction> actions) {
    for (PermitAction action : actions) {
      switch (action) {
        case PermitAction.SendMessage send -> messageSender.send(send.to(), send.message());
        case PermitAction.Granted granted -> handleGranted(granted);
        case PermitAction.Rejected rejected -> handleRejected(rejected);
        case PermitAction.ProposeOwnership propose -> propose(propose.proposal());
        case PermitAction.HandoverDone done -> completeHandover();
      }
    }
  }

  private void handleGranted(PermitAction.Granted granted) {
    AcquireCallback callback = callbacks.remove(granted.requestId());
    if (callback == null) {
      release(granted.requestId(), /* slotIsFree= */ true);
      return;
    }
    callback.onGranted(granted.permit(), granted.useDeadlineNanos());
  }

  private void handleRejected(PermitAction.Rejected rejected) {
    AcquireCallback callback = callbacks.remove(rejected.requestId());
    if (callback != null) {
      callback.onRejected(rejected.reason());
    }
  }

  private void completeHandover() {
    EventLog.log(Event.HANDOVER_DONE);
    onHandoverDone.ifPresent(Runnable::run);
    onHandoverDone = Optional.empty();
  }

  private void propose(OwnershipProposal proposal) {
    String key = TableRows.ownershipKey(proposal.zone());
    Transaction transaction =
        new Transaction(
            ImmutableList.of(new Transaction.Condition(key, proposal.expectedRevision())),
            ImmutableList.of(Transaction.Write.set(key, TableRows.fromOwners(proposal.owners()))));
    table.commit(transaction).whenResult(result -> handleProposalResult(proposal, result));
  }

  private void handleProposalResult(OwnershipProposal proposal, TransactionResult result) {
    EventLog.log(
        Event.OWNERSHIP_PROPOSAL_ENDED, "revision", proposal.expectedRevision(), "end", result);
    ProposalResult proposalResult =
        switch (result) {
          case TransactionResult.Committed committed -> ProposalResult.COMMITTED;
          case TransactionResult.ConditionFailed failed -> ProposalResult.CONDITION_FAILED;
          case TransactionResult.Unavailable unavailable -> ProposalResult.UNAVAILABLE;
          case TransactionResult.OutcomeUnknown unknown -> ProposalResult.OUTCOME_UNKNOWN;
        };
    run(agent.handleProposalResult(clock.getAsLong(), proposal, proposalResult));
    readOwnership(proposal.zone());
  }

  private void readOwnership() {
    ownershipReadNanos = clock.getAsLong();
    readOwnership(zone);
  }

  private void readOwnership(ZoneId zoneToRead) {
    table
        .read(TableRows.ownershipKey(zoneToRead))
        .whenResult(read -> handleOwnershipRead(zoneToRead, read));
  }

  private void handleOwnershipRead(ZoneId zoneRead, Either<PlatformFailure, Optional<Row>> read) {
    if (read.isLeft()) {
      return;
    }
    TableRows.toOwnershipList(zoneRead, read.get())
        .ifPresent(
            list -> {
              logRevisionChange(list.revision());
              run(agent.updateOwnership(clock.getAsLong(), list));
            });
  }

  private void logRevisionChange(long revision) {
    if (revision != listRevision) {
      listRevision = revision;
      EventLog.log(Event.OWNERSHIP_CHANGED, "revision", revision);
    }
  }
}
