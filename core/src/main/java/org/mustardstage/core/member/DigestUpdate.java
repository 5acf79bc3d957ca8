package org.mustardstage.core.member;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.ZoneId;

/**
 * A zone digest as it is sent to another VM. The member list is left out when the receiver already
 * holds it, so that a change of the active configuration costs a few dozen bytes per zone.
 *
 * @param zone the zone that the digest describes
 * @param sequenceNumber the sequence number of the digest
 * @param configVersion the configuration version that is active at all VMs but the outdated ones
 * @param outdatedVms the VMs on which an older configuration version is active
 * @param membersHash a hash of the member list
 * @param members the live VMs; empty when the receiver holds the list with this hash
 */
public record DigestUpdate(
    ZoneId zone,
    long sequenceNumber,
    ConfigVersion configVersion,
    List<VmId> outdatedVms,
    long membersHash,
    Optional<List<Member>> members) {
  /** Copies the lists. */
  public DigestUpdate {
    outdatedVms = ImmutableList.copyOf(outdatedVms);
    members = members.map(ImmutableList::copyOf);
  }

  /**
   * Returns the complete digest, taking a left-out member list from {@code held}; empty when {@code
   * held} has another member list.
   */
  Optional<ZoneDigest> toDigest(Optional<ZoneDigest> held) {
    Optional<List<Member>> known =
        held.filter(digest -> digest.toDigestVersion().membersHash() == membersHash)
            .map(ZoneDigest::members);
    return members
        .or(() -> known)
        .map(list -> new ZoneDigest(zone, sequenceNumber, configVersion, outdatedVms, list));
  }
}
