package org.mustardstage.core.member;

/** An action that {@link Membership} requests from its driver. */
public sealed interface MemberAction {
  /** Requests that a message is sent to a VM. */
  record SendMessage(Member to, MemberMessage message) implements MemberAction {}

  /** Reports that {@link Membership#view} returns a different view than before. */
  record ViewChanged() implements MemberAction {}
}
