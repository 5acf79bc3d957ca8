package org.mustardstage.core.member;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.ZoneId;

/** A message of the membership protocol. */
public sealed interface MemberMessage {
  /**
   * Says that the sender is alive.
   *
   * @param leaving whether the sender is leaving
   * @param version the version of the manifest in force at the sender
   * @param worldHash a hash of the digests that the sender holds
   * @param silentZones the zones that the sender has not heard of for long
   */
  record Heartbeat(boolean leaving, ConfigVersion configVersion, long digestTableHash, List<ZoneId> silentZones)
      implements MemberMessage {
    /** Copies the list. */
    public Heartbeat {
      silentZones = ImmutableList.copyOf(silentZones);
    }
  }

  /** Lists which digests the sender holds; sent when two hashes differ. */
  record DigestSummary(List<DigestVersion> versions) implements MemberMessage {
    /** Copies the list. */
    public DigestSummary {
      versions = ImmutableList.copyOf(versions);
    }
  }

  /** Carries digests that are newer than those of the receiver. */
  record Digests(List<DigestUpdate> digests) implements MemberMessage {
    /** Copies the list. */
    public Digests {
      digests = ImmutableList.copyOf(digests);
    }
  }
}
