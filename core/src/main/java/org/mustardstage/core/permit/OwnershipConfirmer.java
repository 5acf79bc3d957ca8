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
  private static final long RETRY_NANOS = 50_000_000L;
  private static final int MAX_ASKED = 4;

  private final AgentContext context;
  private final Tenure tenure;
  private final OwnershipKeeper keeper;
  private final Map<ZoneOwnership, Round> rounds = new HashMap<>();

  /** When peers and the store are asked next. */
  private static final class Round {
    long peersDueNanos;
    long storeDueNanos = Long.MAX_VALUE;
    int nextPeer;
  }

  OwnershipConfirmer(AgentContext context, Tenure tenure, OwnershipKeeper keeper) {
    this.context = context;
    this.tenure = tenure;
    this.keeper = keeper;
  }

  /** Asks for the confirmations that are due. */
  void onTick(long nowNanos) {
    for (ZoneOwnership ownership : tenure.zones()) {
      boolean isNeeded = ownership.countOwned() > 0 || isOwnUnsettled(ownership);
      if (ownership.revision() > 0 && isNeeded) {
        confirm(ownership, nowNanos);
      }
    }
  }

  private boolean isOwnUnsettled(ZoneOwnership ownership) {
    return ownership.zone.equals(context.zone) && !ownership.isSettled();
  }

  private void confirm(ZoneOwnership ownership, long nowNanos) {
    boolean isAlone = !context.members.anotherMayRunIn(ownership.zone);
    if (isAlone && ownership.isSettled()) {
      ownership.confirm(nowNanos);
      return;
    }
    Round round = rounds.computeIfAbsent(ownership, key -> new Round());
    if (isFresh(ownership, nowNanos)) {
      round.storeDueNanos = Long.MAX_VALUE;
    } else {
      askStore(ownership, round, nowNanos);
    }
    if (nowNanos >= round.peersDueNanos) {
      askPeers(ownership, round, nowNanos);
    }
  }

  private boolean isFresh(ZoneOwnership ownership, long nowNanos) {
    long validityNanos = context.settings.ownershipValidityNanos();
    return ownership.confirmationAgeNanos(nowNanos) < validityNanos / 2;
  }

  private void askStore(ZoneOwnership ownership, Round round, long nowNanos) {
    long waitNanos = context.settings.ownershipValidityNanos() / 4;
    if (round.storeDueNanos == Long.MAX_VALUE) {
      round.storeDueNanos = nowNanos + context.jitter(waitNanos);
    } else if (nowNanos >= round.storeDueNanos) {
      round.storeDueNanos = nowNanos + context.jitter(waitNanos);
      if (ownership.countOwned() > 0) {
        keeper.proposeUnchanged(ownership, nowNanos);
      }
    }
  }

  private void askPeers(ZoneOwnership ownership, Round round, long nowNanos) {
    boolean isFresh = isFresh(ownership, nowNanos);
    long quarterNanos = context.settings.ownershipValidityNanos() / 4;
    round.peersDueNanos = nowNanos + (isFresh ? quarterNanos : RETRY_NANOS);
    List<VmIncarnation> peers = context.members.aliveIn(ownership.zone);
    int asked = 0;
    for (int tried = 0; tried < peers.size() && asked < (isFresh ? 1 : MAX_ASKED); tried++) {
      VmIncarnation peer = peers.get(Math.floorMod(round.nextPeer++, peers.size()));
      if (!peer.equals(context.self)) {
        ask(peer, ownership, nowNanos);
        asked++;
      }
    }
  }

  private void ask(VmIncarnation peer, ZoneOwnership ownership, long nowNanos) {
    long mark = context.marks.newMark(nowNanos);
    context.outbox.send(
        peer, new ConfirmOwnership(mark, mark, ownership.zone, ownership.revision()));
  }

  /** Answers a request for a confirmation. */
  void onAsked(long nowNanos, VmIncarnation from, ConfirmOwnership asked) {
    ZoneOwnership ownership = tenure.zoneOf(asked.zone());
    if (ownership.revision() > asked.revision()) {
      keeper.advertiseTo(from, ownership, nowNanos);
    } else if (ownership.revision() == asked.revision() && ownership.isSettled()) {
      context.outbox.send(
          from,
          new OwnershipConfirmed(
              asked.correlationId(),
              context.marks.mark(nowNanos),
              asked.zone(),
              ownership.revision()));
    } else if (ownership.revision() < asked.revision()) {
      ask(from, ownership, nowNanos);
    }
  }

  /** Takes over a confirmation. */
  void onConfirmed(OwnershipConfirmed confirmed) {
    ZoneOwnership ownership = tenure.zoneOf(confirmed.zone());
    long askedNanos = context.marks.timeOf(confirmed.correlationId());
    if (confirmed.revision() == ownership.revision() && askedNanos != ClockMarks.UNKNOWN) {
      ownership.confirm(askedNanos);
    }
  }
}
