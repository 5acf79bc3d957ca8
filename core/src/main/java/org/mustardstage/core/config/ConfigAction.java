package org.mustardstage.core.config;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.mustardstage.core.member.Member;

/** An action that {@link ConfigTracker} requests from its driver. */
public sealed interface ConfigAction {
  /**
   * Requests that objects are fetched; once stored, they are reported to {@link
   * ConfigTracker#continueFetch}.
   */
  record Fetch(ConfigSource source, List<String> hashes) implements ConfigAction {
    /** Copies the list. */
    public Fetch {
      hashes = ImmutableList.copyOf(hashes);
    }
  }

  /** Requests that a VM is told which manifest is active here. */
  record Announce(Member to, ConfigHead head) implements ConfigAction {}

  /** Requests that the manifest, whose objects are all stored, becomes the active one. */
  record Activate(ConfigHead head) implements ConfigAction {}

  /**
   * Requests a report that an accepted manifest can't be read. It is never activated on this VM.
   */
  record Reject(ConfigHead head, String detail) implements ConfigAction {}
}
