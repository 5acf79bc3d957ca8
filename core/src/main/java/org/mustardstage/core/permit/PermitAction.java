package org.mustardstage.core.permit;

import org.mustardstage.core.id.VmIncarnation;

/** What a {@link PermitAgent} asks its driver to do. */
public sealed interface PermitAction {
  /** Sends a message to another agent; it may be lost. */
  record SendMessage(VmIncarnation to, PermitMessage message) implements PermitAction {}

  /**
   * A request has a permit.
   *
   * @param requestId the request
   * @param permit the permit
   * @param useUntilNanos nothing may be sent after this time, and no deadline may lie past it; to
   *     be checked right before sending
   */
  record Granted(long requestId, Permit permit, long useDeadlineNanos) implements PermitAction {}

  /** A request gets no permit and waits no more. */
  record Rejected(long requestId, PermitRejectionReason reason) implements PermitAction {}

  /**
   * Writes the ownership row on a condition; its end comes to {@link
   * PermitAgent#handleProposalResult}.
   */
  record ProposeOwnership(OwnershipProposal proposal) implements PermitAction {}

  /** After {@link PermitAgent#stop}: everything is handed over, the process may end. */
  record HandoverDone() implements PermitAction {}
}
