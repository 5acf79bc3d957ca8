package org.mustardstage.core.config;

import org.mustardstage.core.member.Member;

/** A source that the objects of a manifest are fetched from. */
public sealed interface ConfigSource {
  /** The platform's object store. */
  record Store() implements ConfigSource {}

  /** Another entry VM, on which the manifest is active or being fetched. */
  record Peer(Member member) implements ConfigSource {}
}
