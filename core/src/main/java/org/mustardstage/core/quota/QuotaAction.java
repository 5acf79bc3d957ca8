package org.mustardstage.core.quota;

import org.mustardstage.core.id.VmId;

/** What follows from an event. */
public sealed interface QuotaAction {
  /** Sends a message to another VM. */
  record Send(VmId to, QuotaMessage message) implements QuotaAction {}

  /** Tells a request that waited whether it may run. */
  record Decide(long requestId, QuotaDecision decision) implements QuotaAction {}
}
