package org.mustardstage.core.member;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.ZoneId;

/**
 * The live VMs of a zone, as the representative of the zone sees them.
 *
 * @param zone the zone
 * @param sequenceNumber the sequence number of the digest; a larger one replaces a smaller one
 * @param configVersion the configuration version that is active at all VMs but the outdated ones
 * @param outdatedVms the VMs on which an older configuration version is active, sorted by name
 * @param members the live VMs, sorted by name
 */
public record ZoneDigest(
    ZoneId zone,
    long sequenceNumber,
    ConfigVersion configVersion,
    List<VmId> outdatedVms,
    List<Member> members) {
  /** Copies the lists. */
  public ZoneDigest {
    outdatedVms = ImmutableList.copyOf(outdatedVms);
    members = ImmutableList.copyOf(members);
  }

  /**
   * Returns the configuration version that is active at {@code member}; none when it is outdated,
   * as the digest does not say which older version it has.
   */
  ConfigVersion configVersionOf(Member member) {
    return outdatedVms.contains(member.vm()) ? ConfigVersion.NONE : configVersion;
  }

  /** Returns whether both digests have the same content, regardless of their sequence numbers. */
  boolean hasSameContentAs(ZoneDigest other) {
    return configVersion.equals(other.configVersion)
        && outdatedVms.equals(other.outdatedVms)
        && members.equals(other.members);
  }

  /** Returns the version of this digest. */
  public DigestVersion toDigestVersion() {
    long membersHash = computeMembersHash();
    Hasher hasher = Hashing.murmur3_128().newHasher().putLong(membersHash);
    hasher.putLong(configVersion.number());
    outdatedVms.forEach(
        vm -> hasher.putString(vm.value(), StandardCharsets.UTF_8).putByte((byte) 0));
    return new DigestVersion(zone, sequenceNumber, hasher.hash().asLong(), membersHash);
  }

  private long computeMembersHash() {
    Hasher hasher = Hashing.murmur3_128().newHasher();
    for (Member member : members) {
      hasher.putString(member.vm().value(), StandardCharsets.UTF_8);
      hasher.putLong(member.incarnation().number());
      hasher.putBoolean(member.leaving());
      hasher.putBoolean(member.cutOff());
    }
    return hasher.hash().asLong();
  }

  /**
   * Returns an update for a VM whose digest of this zone has the member list {@code membersHash},
   * which is left out if it is unchanged.
   */
  DigestUpdate toUpdate(Optional<Long> membersHash) {
    long ownHash = computeMembersHash();
    boolean known = membersHash.filter(hash -> hash == ownHash).isPresent();
    return new DigestUpdate(
        zone,
        sequenceNumber,
        configVersion,
        outdatedVms,
        ownHash,
        known ? Optional.empty() : Optional.of(members));
  }
}
