package org.mustardstage.core.member;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.ZoneId;

/** A message of the membership protocol. */
public sealed interface MemberMessage {
  /**
   * Reports that the sender is alive.
   *
   * @param leaving whether the sender is leaving
   * @param cutOff whether the sender reaches no endpoint
   * @param configVersion the configuration version that is active at the sender
   * @param digestTableHash a hash over the versions of all digests that the sender holds
   * @param silentZones the zones that the sender considers silent; see {@link SilentZoneDetector}
   */
  record Heartbeat(
      boolean leaving,
      boolean cutOff,
      ConfigVersion configVersion,
      long digestTableHash,
      List<ZoneId> silentZones)
      implements MemberMessage {
    /** Copies the list. */
    public Heartbeat {
      silentZones = ImmutableList.copyOf(silentZones);
    }
  }

  /**
   * Lists the versions of the digests that the sender holds. It is sent when the digest table
   * hashes of two VMs differ, so that the receiver can return the digests that the sender lacks.
   */
  record DigestSummary(List<DigestVersion> versions) implements MemberMessage {
    /** Copies the list. */
    public DigestSummary {
      versions = ImmutableList.copyOf(versions);
    }
  }

  /** Carries digests that are newer than those that the receiver listed. */
  record Digests(List<DigestUpdate> digests) implements MemberMessage {
    /** Copies the list. */
    public Digests {
      digests = ImmutableList.copyOf(digests);
    }
  }

  /**
   * Tells a VM that introduced itself that a later incarnation of it, or a leaving one with the
   * same number, is known. A clock that stepped back before a restart gives such a number.
   *
   * @param knownNumber the number of the incarnation that is known
   */
  record Superseded(long knownNumber) implements MemberMessage {}
}
