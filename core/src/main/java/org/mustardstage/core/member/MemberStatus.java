package org.mustardstage.core.member;

import org.mustardstage.core.id.ConfigVersion;

/**
 * What one VM believes about a member.
 *
 * @param member the member
 * @param liveness whether the member is believed alive
 * @param provenGone whether there is proof that this incarnation of the VM has ended
 * @param configVersion the last configuration version known to be active at the member
 */
public record MemberStatus(
    Member member, Liveness liveness, boolean provenGone, ConfigVersion configVersion) {
  /** The state of the failure detector for a VM. */
  public enum Liveness {
    /** A heartbeat arrived recently, or the digest of its zone lists the VM. */
    ALIVE,
    /** Heartbeats are overdue, none has arrived yet, or the zone of the VM is silent. */
    SUSPECTED,
    /** No heartbeat arrived for so long that the VM is taken to have failed. */
    DEAD
  }

  /** Returns whether the member is believed alive. A suspected member still counts as alive. */
  public boolean isAlive() {
    return liveness != Liveness.DEAD;
  }

  /** Returns whether callers may be directed to the member: it is neither suspected nor leaving. */
  public boolean acceptsCallers() {
    return liveness == Liveness.ALIVE && !member.leaving();
  }

  /** Returns whether the member accepts callers and sends their requests to endpoints itself. */
  public boolean reachesEndpoints() {
    return acceptsCallers() && !member.cutOff();
  }
}
