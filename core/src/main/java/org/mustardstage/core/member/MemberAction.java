package org.mustardstage.core.member;

import org.mustardstage.core.manifest.HostAndPort;

/** What the membership protocol wants done. */
public sealed interface MemberAction {
  /** Send a message to a VM. */
  record SendMessage(Member to, MemberMessage message) implements MemberAction {}

  /** Connect to an address where an unknown VM may answer. */
  record Greet(HostAndPort peerAddress) implements MemberAction {}

  /** The set of members or what is believed of them has changed. */
  record ViewChanged() implements MemberAction {}
}
