package org.mustardstage.core.permit;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.permit.PermitMessage.Handover;

/**
 * The handovers that this VM has sent and that are not confirmed yet, and those that it received
 * before the ownership list that they belong to.
 */
final class PendingHandovers {
  private static final long RESEND_INTERVAL_NANOS = 100_000_000L;

  private final AgentContext context;
  private final Map<Long, SentHandover> sent = new LinkedHashMap<>();
  private final List<EarlyHandover> early = new ArrayList<>();
  private long lastId;

  /** A handover that is resent until it is confirmed or expires. */
  private static final class SentHandover {
    final VmIncarnation to;
    final Handover handover;
    final long expiryNanos;
    long sentNanos;

    SentHandover(VmIncarnation to, Handover handover, long expiryNanos) {
      this.to = to;
      this.handover = handover;
      this.expiryNanos = expiryNanos;
    }
  }

  /** A received handover whose ownership list has not arrived yet. */
  record EarlyHandover(Handover handover, long receivedNanos) {}

  PendingHandovers(AgentContext context) {
    this.context = context;
  }

  long nextId() {
    return ++lastId;
  }

  /**
   * Sends a handover, and schedules it to be resent until it is confirmed or half the lease
   * duration has passed.
   */
  void send(VmIncarnation to, Handover handover, long nowNanos) {
    SentHandover entry =
        new SentHandover(to, handover, nowNanos + context.settings.leaseDurationNanos() / 2);
    sent.put(handover.handoverId(), entry);
    resend(entry, nowNanos);
  }

  private void resend(SentHandover entry, long nowNanos) {
    entry.sentNanos = nowNanos;
    context.actions.send(entry.to, entry.handover);
  }

  /**
   * Resends unconfirmed handovers, and drops those that come too late to be useful: a sent one
   * after half the lease duration, a received one after the takeover wait, when the new owner may
   * use the permits without it.
   */
  void resendDue(long nowNanos) {
    for (Iterator<SentHandover> all = sent.values().iterator(); all.hasNext(); ) {
      SentHandover entry = all.next();
      if (nowNanos >= entry.expiryNanos) {
        all.remove();
      } else if (nowNanos - entry.sentNanos >= RESEND_INTERVAL_NANOS) {
        resend(entry, nowNanos);
      }
    }
    early.removeIf(
        entry -> nowNanos - entry.receivedNanos() > context.settings.takeoverWaitNanos());
  }

  void confirm(long handoverId) {
    sent.remove(handoverId);
  }

  boolean allConfirmed() {
    return sent.isEmpty();
  }

  /** Stores a handover until its ownership list arrives. */
  void addEarly(Handover handover, long nowNanos) {
    early.add(new EarlyHandover(handover, nowNanos));
  }

  /**
   * Removes and returns the handovers of this zone whose ownership change is part of the list that
   * is now known.
   */
  List<EarlyHandover> removeApplicable(ZoneOwnership ownership) {
    List<EarlyHandover> applicable = new ArrayList<>();
    for (Iterator<EarlyHandover> all = early.iterator(); all.hasNext(); ) {
      EarlyHandover entry = all.next();
      boolean isApplicable =
          entry.handover().zone().equals(ownership.zone)
              && ownership.revision() > entry.handover().expectedRevision();
      if (isApplicable) {
        applicable.add(entry);
        all.remove();
      }
    }
    return applicable;
  }
}
