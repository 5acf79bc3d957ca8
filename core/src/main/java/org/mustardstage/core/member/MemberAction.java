package org.mustardstage.core.member;

/** An action that {@link Membership} requests from its driver. */
public sealed interface MemberAction {
  /** Requests that a message is sent to a VM. */
  record SendMessage(Member to, MemberMessage message) implements MemberAction {}

  /** Reports that {@link Membership#view} returns a different view than before. */
  record ViewChanged() implements MemberAction {}

  /**
   * Reports that other VMs ignore this one, because they know its VM under a number that is not
   * smaller. {@link Membership#renumber} makes them accept it.
   *
   * @param knownNumber the number under which the VM is known
   */
  record Superseded(long knownNumber) implements MemberAction {}
}
