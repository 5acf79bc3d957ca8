package org.mustardstage.core.member;

import org.mustardstage.core.id.ConfigVersion;

/**
 * What is believed of a member.
 *
 * @param member the member
 * @param liveness whether it is believed alive
 * @param provenGone whether there is proof that this run of the VM has ended
 * @param version the version of the manifest last known to be in force there
 */
public record MemberStatus(
    Member member, Liveness liveness, boolean provenGone, ConfigVersion configVersion) {
  /** Whether a VM is believed alive. */
  public enum Liveness {
    /** A heartbeat came lately. */
    ALIVE,
    /** Heartbeats are late. */
    SUSPECTED,
    /** No heartbeat came for long. */
    DEAD
  }

  /** Returns whether the member is believed alive, suspected or not. */
  public boolean isAlive() {
    return liveness != Liveness.DEAD;
  }

  /** Returns whether callers may be sent to the member. */
  public boolean acceptsCallers() {
    return liveness == Liveness.ALIVE && !member.leaving();
  }
}
