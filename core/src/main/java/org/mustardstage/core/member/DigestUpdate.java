package org.mustardstage.core.member;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.ZoneId;

/**
 * A digest on its way. The members are left out when the receiver has them: a change of the version
 * in force then costs a few dozen bytes a zone.
 *
 * @param zone the zone
 * @param counter the number of the digest
 * @param version the version in force at the VMs that are not behind
 * @param behind the VMs that have an older version in force
 * @param membersHash a hash of the members
 * @param members the live VMs; left out when the receiver holds those of the hash
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

  /** Returns the digest, with the members of {@code held} where they are left out. */
  Optional<ZoneDigest> toDigest(Optional<ZoneDigest> held) {
    Optional<List<Member>> known =
        held.filter(digest -> digest.toDigestVersion().membersHash() == membersHash)
            .map(ZoneDigest::members);
    return members
        .or(() -> known)
        .map(list -> new ZoneDigest(zone, sequenceNumber, configVersion, outdatedVms, list));
  }
}
