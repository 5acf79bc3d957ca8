package org.mustardstage.core.permit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.permit.PermitMessage.ConfirmOwnership;
import org.mustardstage.core.permit.PermitMessage.OwnershipConfirmed;

/**
 * Keeps the ownership of this VM confirmed, so that it stops using permits that another VM may have
 * taken over. Other VMs of the zone confirm that they know no newer ownership list; if none
 * responds, an unchanged conditional write of the ownership row confirms it. A VM that was paused
 * confirms nothing to others until its own list has been confirmed, because it may have missed a
 * newer one.
 */
final class OwnershipConfirmer {
  private static final long RETRY_INTERVAL_NANOS = 50_000_000L;
  private static final int MAX_PEERS_ASKED = 4;

  private final AgentContext context;
  private final OwnershipTracker tracker;
  private final OwnershipProposer proposer;
  private final Map<ZoneOwnership, ConfirmationSchedule> schedules = new HashMap<>();

  /** When the peers and the store are asked next for one zone. */
  private static final class ConfirmationSchedule {
    long peersDueNanos;
    long storeDueNanos = Long.MAX_VALUE;
    int nextPeer;
  }

  OwnershipConfirmer(AgentContext context, OwnershipTracker tracker, OwnershipProposer proposer) {
    this.context = context;
    this.tracker = tracker;
    this.proposer = proposer;
  }

  /** Requests the confirmations that are due. */
  void requestDueConfirmations(long nowNanos) {
    for (ZoneOwnership ownership : tracker.zones()) {
      boolean isNeeded = ownership.ownedPartCount() > 0 || needsInitialConfirmation(ownership);
      if (ownership.revision() > 0 && isNeeded) {
        maintainConfirmation(ownership, nowNanos);
      }
    }
  }

  private boolean needsInitialConfirmation(ZoneOwnership ownership) {
    return ownership.zone.equals(context.zone) && !ownership.isConfirmedSincePause();
  }

  private void maintainConfirmation(ZoneOwnership ownership, long nowNanos) {
    boolean isAlone = !context.membership.mayOtherVmRunIn(ownership.zone);
    if (isAlone && ownership.isConfirmedSincePause()) {
      ownership.recordConfirmation(nowNanos);
      return;
    }
    ConfirmationSchedule schedule =
        schedules.computeIfAbsent(ownership, key -> new ConfirmationSchedule());
    if (isFresh(ownership, nowNanos)) {
      schedule.storeDueNanos = Long.MAX_VALUE;
    } else {
      confirmByStoreWrite(ownership, schedule, nowNanos);
    }
    if (nowNanos >= schedule.peersDueNanos) {
      requestFromPeers(ownership, schedule, nowNanos);
    }
  }

  private boolean isFresh(ZoneOwnership ownership, long nowNanos) {
    long validityNanos = context.settings.ownershipValidityNanos();
    return ownership.confirmationAgeNanos(nowNanos) < validityNanos / 2;
  }

  private void confirmByStoreWrite(
      ZoneOwnership ownership, ConfirmationSchedule schedule, long nowNanos) {
    long intervalNanos = context.settings.ownershipValidityNanos() / 4;
    if (schedule.storeDueNanos == Long.MAX_VALUE) {
      schedule.storeDueNanos = nowNanos + context.jitter(intervalNanos);
    } else if (nowNanos >= schedule.storeDueNanos) {
      schedule.storeDueNanos = nowNanos + context.jitter(intervalNanos);
      if (ownership.ownedPartCount() > 0) {
        proposer.proposeUnchanged(ownership, nowNanos);
      }
    }
  }

  private void requestFromPeers(
      ZoneOwnership ownership, ConfirmationSchedule schedule, long nowNanos) {
    boolean isFresh = isFresh(ownership, nowNanos);
    long quarterNanos = context.settings.ownershipValidityNanos() / 4;
    schedule.peersDueNanos = nowNanos + (isFresh ? quarterNanos : RETRY_INTERVAL_NANOS);
    List<VmIncarnation> peers = context.membership.aliveIn(ownership.zone);
    int requested = 0;
    for (int tries = 0;
        tries < peers.size() && requested < (isFresh ? 1 : MAX_PEERS_ASKED);
        tries++) {
      VmIncarnation peer = peers.get(Math.floorMod(schedule.nextPeer++, peers.size()));
      if (!peer.equals(context.self)) {
        sendRequest(peer, ownership, nowNanos);
        requested++;
      }
    }
  }

  private void sendRequest(VmIncarnation peer, ZoneOwnership ownership, long nowNanos) {
    long timestampId = context.timestamps.newId(nowNanos);
    context.actions.send(
        peer, new ConfirmOwnership(timestampId, timestampId, ownership.zone, ownership.revision()));
  }

  /**
   * Responds to a request for a confirmation: confirms the revision, or sends the newer list that
   * is known here. If the peer knows a newer list, asks the peer to confirm this one, which makes
   * it send the newer list.
   */
  void respond(long nowNanos, VmIncarnation from, ConfirmOwnership request) {
    ZoneOwnership ownership = tracker.zoneOf(request.zone());
    if (ownership.revision() > request.revision()) {
      proposer.advertiseTo(from, ownership, nowNanos);
    } else if (ownership.revision() == request.revision() && ownership.isConfirmedSincePause()) {
      context.actions.send(
          from,
          new OwnershipConfirmed(
              request.correlationId(),
              context.timestamps.currentId(nowNanos),
              request.zone(),
              ownership.revision()));
    } else if (ownership.revision() < request.revision()) {
      sendRequest(from, ownership, nowNanos);
    }
  }

  /** Confirms ownership as of the time at which the confirmation was requested. */
  void recordConfirmation(OwnershipConfirmed confirmed) {
    ZoneOwnership ownership = tracker.zoneOf(confirmed.zone());
    long requestedNanos = context.timestamps.timeOf(confirmed.correlationId());
    if (confirmed.revision() == ownership.revision()
        && requestedNanos != TimestampRegistry.UNKNOWN) {
      ownership.recordConfirmation(requestedNanos);
    }
  }
}
