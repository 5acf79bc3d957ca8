package org.mustardstage.core.permit;

import org.mustardstage.core.id.VmIncarnation;

/** An action that a {@link PermitAgent} requires from its driver. */
public sealed interface PermitAction {
  /** Sends a message to another agent. The message may be lost. */
  record SendMessage(VmIncarnation to, PermitMessage message) implements PermitAction {}

  /**
   * Grants a permit to a request.
   *
   * @param requestId the request
   * @param permit the permit
   * @param useDeadlineNanos the latest deadline that the request may have; the driver must check
   *     right before sending that it has not passed
   */
  record Granted(long requestId, Permit permit, long useDeadlineNanos) implements PermitAction {}

  /** Rejects a request; it is no longer queued. */
  record Rejected(long requestId, PermitRejectionReason reason) implements PermitAction {}

  /**
   * Writes the ownership row conditionally; the driver passes the result to {@link
   * PermitAgent#handleProposalResult}.
   */
  record ProposeOwnership(OwnershipProposal proposal) implements PermitAction {}

  /**
   * Reports, after {@link PermitAgent#stop}, that everything is handed over and the process may
   * exit.
   */
  record HandoverDone() implements PermitAction {}
}
