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

/** Carries out what a {@link PermitAgent} wants done. Used on the control thread only. */
final class PermitDriver {
  private static final long READ_NANOS = Duration.ofSeconds(2).toNanos();

  private final PermitAgent agent;
  private final TableService table;
  private final LongSupplier clock;
  private final ZoneId zone;
  private final Host host;
  private final Map<Long, Consumer> consumers = new HashMap<>();
  private Optional<Runnable> onHandoverDone = Optional.empty();
  private long readNanos = Long.MIN_VALUE / 2;
  private long listRevision = -1;

  /** Takes the answer to a request for a permit. */
  interface Consumer {
    /** A permit was granted. */
    void onGranted(Permit permit, long useUntilNanos);

    /** No permit will be granted. */
    void onNotGranted(PermitRejectionReason reason);
  }

  /** What the driver needs of the control thread. */
  interface Host {
    /** Sends a message to a VM, if it is known. */
    void send(VmIncarnation to, PermitMessage message);
  }

  PermitDriver(PermitAgent agent, TableService table, LongSupplier clock, ZoneId zone, Host host) {
    this.agent = agent;
    this.table = table;
    this.clock = clock;
    this.zone = zone;
    this.host = host;
  }

  void onManifest(long version, Manifest manifest) {
    ImmutableList.Builder<Limit> limits = ImmutableList.builder();
    for (Service service : manifest.services()) {
      for (Endpoint endpoint : service.endpoints()) {
        limits.add(new Limit(LimitId.slotsOf(endpoint.id()), endpoint.zone(), endpoint.slots()));
      }
    }
    run(agent.updateLimits(clock.getAsLong(), version, limits.build()));
  }

  void onMembers(MemberView view) {
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

  void onMessage(VmIncarnation from, PermitMessage message) {
    run(agent.handleMessage(clock.getAsLong(), from, message));
  }

  void acquire(AcquireRequest request, Consumer consumer) {
    consumers.put(request.requestId(), consumer);
    run(agent.acquire(clock.getAsLong(), request));
  }

  void abandon(long requestId) {
    consumers.remove(requestId);
    run(agent.cancel(clock.getAsLong(), requestId));
  }

  void release(long requestId, boolean slotIsFree) {
    run(agent.release(clock.getAsLong(), requestId, slotIsFree));
  }

  PermitStatus status() {
    return agent.status(clock.getAsLong());
  }

  void onTick() {
    long nowNanos = clock.getAsLong();
    run(agent.runDueTasks(nowNanos));
    if (nowNanos - readNanos >= READ_NANOS) {
      readOwnership();
    }
  }

  /** Hands everything over; {@code done} runs when that has ended. */
  void stop(Runnable done) {
    onHandoverDone = Optional.of(done);
    run(agent.stop(clock.getAsLong()));
  }

  private void run(List<PermitAction> actions) {
    for (PermitAction action : actions) {
      switch (action) {
        case PermitAction.SendMessage send -> host.send(send.to(), send.message());
        case PermitAction.Granted granted -> onGranted(granted);
        case PermitAction.Rejected notGranted -> onNotGranted(notGranted);
        case PermitAction.ProposeOwnership propose -> propose(propose.proposal());
        case PermitAction.HandoverDone done -> onHandoverDone();
      }
    }
  }

  private void onGranted(PermitAction.Granted granted) {
    Consumer consumer = consumers.remove(granted.requestId());
    if (consumer == null) {
      release(granted.requestId(), /* slotIsFree= */ true);
      return;
    }
    consumer.onGranted(granted.permit(), granted.useDeadlineNanos());
  }

  private void onNotGranted(PermitAction.Rejected notGranted) {
    Consumer consumer = consumers.remove(notGranted.requestId());
    if (consumer != null) {
      consumer.onNotGranted(notGranted.reason());
    }
  }

  private void onHandoverDone() {
    EventLog.log(Event.HANDOVER_DONE);
    onHandoverDone.ifPresent(Runnable::run);
    onHandoverDone = Optional.empty();
  }

  private void propose(OwnershipProposal proposal) {
    String key = Rows.ownershipKey(proposal.zone());
    Transaction transaction =
        new Transaction(
            ImmutableList.of(new Transaction.Condition(key, proposal.expectedRevision())),
            ImmutableList.of(Transaction.Write.set(key, Rows.fromOwners(proposal.owners()))));
    table.commit(transaction).whenResult(end -> onProposalEnd(proposal, end));
  }

  private void onProposalEnd(OwnershipProposal proposal, TransactionResult end) {
    EventLog.log(
        Event.OWNERSHIP_PROPOSAL_ENDED, "revision", proposal.expectedRevision(), "end", end);
    ProposalResult ended =
        switch (end) {
          case TransactionResult.Committed committed -> ProposalResult.COMMITTED;
          case TransactionResult.ConditionFailed failed -> ProposalResult.CONDITION_FAILED;
          case TransactionResult.Unavailable unavailable -> ProposalResult.UNAVAILABLE;
          case TransactionResult.OutcomeUnknown unknown -> ProposalResult.OUTCOME_UNKNOWN;
        };
    run(agent.handleProposalResult(clock.getAsLong(), proposal, ended));
    readOwnership(proposal.zone());
  }

  private void readOwnership() {
    readNanos = clock.getAsLong();
    readOwnership(zone);
  }

  private void readOwnership(ZoneId zoneToRead) {
    table.read(Rows.ownershipKey(zoneToRead)).whenResult(read -> onOwnershipRead(zoneToRead, read));
  }

  private void onOwnershipRead(ZoneId zoneRead, Either<PlatformFailure, Optional<Row>> read) {
    if (read.isLeft()) {
      return;
    }
    Rows.toOwnershipList(zoneRead, read.get())
        .ifPresent(
            list -> {
              logChange(list.revision());
              run(agent.updateOwnership(clock.getAsLong(), list));
            });
  }

  private void logChange(long revision) {
    if (revision != listRevision) {
      listRevision = revision;
      EventLog.log(Event.OWNERSHIP_CHANGED, "revision", revision);
    }
  }
}
