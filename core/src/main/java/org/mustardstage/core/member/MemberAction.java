package org.mustardstage.core.member;

/** What the membership protocol wants done. */
public sealed interface MemberAction {
  /** Send a message to a VM. */
  record SendMessage(Member to, MemberMessage message) implements MemberAction {}

  /** The set of members or what is believed of them has changed. */
  record ViewChanged() implements MemberAction {}
}
