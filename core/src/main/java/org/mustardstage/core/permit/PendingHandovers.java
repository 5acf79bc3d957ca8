package org.mustardstage.core.permit;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.permit.PermitMessage.Handover;

/** The handovers that were sent and not confirmed, and those that came before their list. */
final class PendingHandovers {
  private static final long RESEND_INTERVAL_NANOS = 100_000_000L;

  private final AgentContext context;
  private final Map<Long, SentHandover> sent = new LinkedHashMap<>();
  private final List<EarlyHandover> early = new ArrayList<>();
  private long lastId;

  /** A handover that waits for its confirmation. */
  private static final class SentHandover {
    final VmIncarnation to;
    final Handover handover;
    final long expiryNanos;
    long sentNanos;

    SentHandover(VmIncarnation to, Handover handover, long untilNanos) {
      this.to = to;
      this.handover = handover;
      this.expiryNanos = untilNanos;
    }
  }

  /** A handover that waits for the list which it belongs to. */
  record EarlyHandover(Handover handover, long receivedNanos) {}

  PendingHandovers(AgentContext context) {
    this.context = context;
  }

  long nextId() {
    return ++lastId;
  }

  /** Sends a handover, again and again until it is confirmed. */
  void send(VmIncarnation to, Handover handover, long nowNanos) {
    SentHandover entry = new SentHandover(to, handover, nowNanos + context.settings.leaseDurationNanos() / 2);
    sent.put(handover.handoverId(), entry);
    resend(entry, nowNanos);
  }

  private void resend(SentHandover entry, long nowNanos) {
    entry.sentNanos = nowNanos;
    context.actions.send(entry.to, entry.handover);
  }

  /** Sends what is due again; gives up what would come too late to be of use. */
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

  /** Keeps a handover until its list comes. */
  void addEarly(Handover handover, long nowNanos) {
    early.add(new EarlyHandover(handover, nowNanos));
  }

  /** Removes and returns the handovers that waited for a list past {@code revision}. */
  List<EarlyHandover> removeApplicable(ZoneOwnership ownership) {
    List<EarlyHandover> due = new ArrayList<>();
    for (Iterator<EarlyHandover> all = early.iterator(); all.hasNext(); ) {
      EarlyHandover entry = all.next();
      boolean isDue =
          entry.handover().zone().equals(ownership.zone)
              && ownership.revision() > entry.handover().expectedRevision();
      if (isDue) {
        due.add(entry);
        all.remove();
      }
    }
    return due;
  }
}
