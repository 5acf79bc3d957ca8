package org.mustardstage.core.config;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.mustardstage.core.member.Member;

/** What the spreading of manifests wants done. */
public sealed interface ConfigAction {
  /** Fetch objects; they come to {@link ConfigTracker#continueFetch}. */
  record Fetch(ConfigSource source, List<String> hashes) implements ConfigAction {
    /** Copies the list. */
    public Fetch {
      hashes = ImmutableList.copyOf(hashes);
    }
  }

  /** Tell a VM which manifest is in force here. */
  record Announce(Member to, ConfigHead head) implements ConfigAction {}

  /** Put the assembled manifest in force. */
  record Activate(ConfigHead head) implements ConfigAction {}

  /** Report that an accepted manifest can't be read; it never takes force here. */
  record Reject(ConfigHead head, String detail) implements ConfigAction {}
}
