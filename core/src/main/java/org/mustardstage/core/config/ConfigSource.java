package org.mustardstage.core.config;

import org.mustardstage.core.member.Member;

/** Where the objects of a manifest are fetched from. */
public sealed interface ConfigSource {
  /** The platform's object store. */
  record Store() implements ConfigSource {}

  /** Another entry VM that has the manifest in force or fetches it too. */
  record Peer(Member member) implements ConfigSource {}
}
