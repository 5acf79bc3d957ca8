package org.mustardstage.core.permit;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;

/**
 * Decides which requests of one entry VM get a permit, and takes the part of this VM in owning and
 * leasing permits. It is driven by events with the time of a monotonic clock and answers with
 * actions, to be carried out in their order.
 */
public final class PermitAgent {
  private final VmIncarnation self;

  /** Creates an agent that owns nothing and knows no limit. */
  public PermitAgent(
      PermitSettings settings, VmIncarnation self, ZoneId zone, RandomGenerator random) {
    this.self = self;
  }

  /** Returns the VM that this agent acts for. */
  public VmIncarnation self() {
    return self;
  }

  /** Takes over the limits of the manifest in force; an older version is ignored. */
  public List<PermitAction> onLimits(long nowNanos, long version, List<Limit> limits) {
    return new ArrayList<>();
  }

  /** Takes over which VMs are believed alive or proven gone, of all zones. */
  public List<PermitAction> onMembers(long nowNanos, List<ZoneMember> members) {
    return new ArrayList<>();
  }

  /** Takes over the ownership list of a zone; an older revision is ignored. */
  public List<PermitAction> onOwnershipList(long nowNanos, OwnershipList list) {
    return new ArrayList<>();
  }

  /** Takes over the end of a proposal. */
  public List<PermitAction> onProposalEnd(
      long nowNanos, OwnershipProposal proposal, ProposalEnd end) {
    return new ArrayList<>();
  }

  /** Takes over a message of another agent. */
  public List<PermitAction> onMessage(long nowNanos, VmIncarnation from, PermitMessage message) {
    return new ArrayList<>();
  }

  /** Asks for a permit. The answer is among the actions of this call or of a later one. */
  public List<PermitAction> acquire(long nowNanos, AcquireRequest request) {
    return List.of(
        new PermitAction.NotGranted(request.requestId(), NotGrantedReason.UNKNOWN_LIMIT));
  }

  /** Gives up a request that still waits. One that was granted meanwhile has to be released. */
  public List<PermitAction> abandon(long nowNanos, long requestId) {
    return new ArrayList<>();
  }

  /**
   * Ends the use of a permit.
   *
   * @param slotIsFree whether the request surely runs no more; if not, the permit stays unusable
   *     until the deadline and its margin have passed
   */
  public List<PermitAction> release(long nowNanos, long requestId, boolean slotIsFree) {
    return new ArrayList<>();
  }

  /** Does what is due; to be called at least every 20 ms. */
  public List<PermitAction> onTick(long nowNanos) {
    return new ArrayList<>();
  }

  /** Starts the graceful stop; ends with {@link PermitAction.HandoverDone}. */
  public List<PermitAction> stop(long nowNanos) {
    return new ArrayList<>();
  }

  /** Returns counts of the present state. */
  public PermitStatus status(long nowNanos) {
    return new PermitStatus(0, false, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0);
  }
}
