package org.mustardstage.core.permit;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.permit.PermitMessage.Handover;

/** The handovers that were sent and not confirmed, and those that came before their list. */
final class Handovers {
  private static final long RESEND_NANOS = 100_000_000L;

  private final AgentContext context;
  private final Map<Long, Sent> sent = new LinkedHashMap<>();
  private final List<Early> early = new ArrayList<>();
  private long lastId;

  /** A handover that waits for its confirmation. */
  private static final class Sent {
    final VmIncarnation to;
    final Handover handover;
    final long untilNanos;
    long sentNanos;

    Sent(VmIncarnation to, Handover handover, long untilNanos) {
      this.to = to;
      this.handover = handover;
      this.untilNanos = untilNanos;
    }
  }

  /** A handover that waits for the list which it belongs to. */
  record Early(Handover handover, long receivedNanos) {}

  Handovers(AgentContext context) {
    this.context = context;
  }

  long nextId() {
    return ++lastId;
  }

  /** Sends a handover, again and again until it is confirmed. */
  void send(VmIncarnation to, Handover handover, long nowNanos) {
    Sent entry = new Sent(to, handover, nowNanos + context.settings.leaseDurationNanos() / 2);
    sent.put(handover.handoverId(), entry);
    resend(entry, nowNanos);
  }

  private void resend(Sent entry, long nowNanos) {
    entry.sentNanos = nowNanos;
    context.outbox.send(entry.to, entry.handover);
  }

  /** Sends what is due again; gives up what would come too late to be of use. */
  void onTick(long nowNanos) {
    for (Iterator<Sent> all = sent.values().iterator(); all.hasNext(); ) {
      Sent entry = all.next();
      if (nowNanos >= entry.untilNanos) {
        all.remove();
      } else if (nowNanos - entry.sentNanos >= RESEND_NANOS) {
        resend(entry, nowNanos);
      }
    }
    early.removeIf(
        entry -> nowNanos - entry.receivedNanos() > context.settings.takeoverWaitNanos());
  }

  void onReceived(long handoverId) {
    sent.remove(handoverId);
  }

  boolean isDone() {
    return sent.isEmpty();
  }

  /** Keeps a handover until its list comes. */
  void keepEarly(Handover handover, long nowNanos) {
    early.add(new Early(handover, nowNanos));
  }

  /** Removes and returns the handovers that waited for a list past {@code revision}. */
  List<Early> takeEarly(ZoneOwnership ownership) {
    List<Early> due = new ArrayList<>();
    for (Iterator<Early> all = early.iterator(); all.hasNext(); ) {
      Early entry = all.next();
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
