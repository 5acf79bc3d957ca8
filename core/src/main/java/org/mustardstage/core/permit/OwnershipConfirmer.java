package org.mustardstage.core.permit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.permit.PermitMessage.ConfirmOwnership;
import org.mustardstage.core.permit.PermitMessage.OwnershipConfirmed;

/**
 * Keeps the ownership of this VM confirmed. Peers of the zone confirm that they know of no newer
 * list; when none answers, an unchanged write of the row does. A VM that was paused confirms
 * nothing until it was confirmed itself.
 */
final class OwnershipConfirmer {
  private static final long RETRY_INTERVAL_NANOS = 50_000_000L;
  private static final int MAX_PEERS_ASKED = 4;

  private final AgentContext context;
  private final OwnershipTracker tracker;
  private final OwnershipProposer proposer;
  private final Map<ZoneOwnership, ConfirmationSchedule> schedules = new HashMap<>();

  /** When peers and the store are asked next. */
  private static final class ConfirmationSchedule {
    long peersDueNanos;
    long storeDueNanos = Long.MAX_VALUE;
    int nextPeer;
  }

  OwnershipConfirmer(AgentContext context, OwnershipTracker tenure, OwnershipProposer keeper) {
    this.context = context;
    this.tracker = tenure;
    this.proposer = keeper;
  }

  /** Asks for the confirmations that are due. */
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
    ConfirmationSchedule round = schedules.computeIfAbsent(ownership, key -> new ConfirmationSchedule());
    if (isFresh(ownership, nowNanos)) {
      round.storeDueNanos = Long.MAX_VALUE;
    } else {
      confirmByStoreWrite(ownership, round, nowNanos);
    }
    if (nowNanos >= round.peersDueNanos) {
      requestFromPeers(ownership, round, nowNanos);
    }
  }

  private boolean isFresh(ZoneOwnership ownership, long nowNanos) {
    long validityNanos = context.settings.ownershipValidityNanos();
    return ownership.confirmationAgeNanos(nowNanos) < validityNanos / 2;
  }

  private void confirmByStoreWrite(ZoneOwnership ownership, ConfirmationSchedule round, long nowNanos) {
    long waitNanos = context.settings.ownershipValidityNanos() / 4;
    if (round.storeDueNanos == Long.MAX_VALUE) {
      round.storeDueNanos = nowNanos + context.jitter(waitNanos);
    } else if (nowNanos >= round.storeDueNanos) {
      round.storeDueNanos = nowNanos + context.jitter(waitNanos);
      if (ownership.ownedPartCount() > 0) {
        proposer.proposeUnchanged(ownership, nowNanos);
      }
    }
  }

  private void requestFromPeers(ZoneOwnership ownership, ConfirmationSchedule round, long nowNanos) {
    boolean isFresh = isFresh(ownership, nowNanos);
    long quarterNanos = context.settings.ownershipValidityNanos() / 4;
    round.peersDueNanos = nowNanos + (isFresh ? quarterNanos : RETRY_INTERVAL_NANOS);
    List<VmIncarnation> peers = context.membership.aliveIn(ownership.zone);
    int asked = 0;
    for (int tried = 0; tried < peers.size() && asked < (isFresh ? 1 : MAX_PEERS_ASKED); tried++) {
      VmIncarnation peer = peers.get(Math.floorMod(round.nextPeer++, peers.size()));
      if (!peer.equals(context.self)) {
        sendRequest(peer, ownership, nowNanos);
        asked++;
      }
    }
  }

  private void sendRequest(VmIncarnation peer, ZoneOwnership ownership, long nowNanos) {
    long mark = context.timestamps.newId(nowNanos);
    context.actions.send(
        peer, new ConfirmOwnership(mark, mark, ownership.zone, ownership.revision()));
  }

  /** Answers a request for a confirmation. */
  void respond(long nowNanos, VmIncarnation from, ConfirmOwnership asked) {
    ZoneOwnership ownership = tracker.zoneOf(asked.zone());
    if (ownership.revision() > asked.revision()) {
      proposer.advertiseTo(from, ownership, nowNanos);
    } else if (ownership.revision() == asked.revision() && ownership.isConfirmedSincePause()) {
      context.actions.send(
          from,
          new OwnershipConfirmed(
              asked.correlationId(),
              context.timestamps.currentId(nowNanos),
              asked.zone(),
              ownership.revision()));
    } else if (ownership.revision() < asked.revision()) {
      sendRequest(from, ownership, nowNanos);
    }
  }

  /** Takes over a confirmation. */
  void recordConfirmation(OwnershipConfirmed confirmed) {
    ZoneOwnership ownership = tracker.zoneOf(confirmed.zone());
    long askedNanos = context.timestamps.timeOf(confirmed.correlationId());
    if (confirmed.revision() == ownership.revision() && askedNanos != TimestampRegistry.UNKNOWN) {
      ownership.recordConfirmation(askedNanos);
    }
  }
}
