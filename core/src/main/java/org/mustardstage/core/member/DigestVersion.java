package org.mustardstage.core.member;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.mustardstage.core.id.ZoneId;

/**
 * Tells which digest of a zone a VM holds.
 *
 * @param zone the zone
 * @param counter the number of the digest; a larger one replaces a smaller one
 * @param contentHash a hash of the content, which decides between digests with the same number
 * @param membersHash a hash of the members in the content
 */
public record DigestVersion(ZoneId zone, long sequenceNumber, long contentHash, long membersHash) {
  /** Returns whether this digest replaces {@code other}. */
  public boolean isNewerThan(DigestVersion other) {
    return sequenceNumber != other.sequenceNumber
        ? sequenceNumber > other.sequenceNumber
        : Long.compareUnsigned(contentHash, other.contentHash) > 0;
  }

  /** Returns a hash that is the same on every VM. */
  long hash() {
    return Hashing.murmur3_128()
        .newHasher()
        .putString(zone.value(), StandardCharsets.UTF_8)
        .putLong(sequenceNumber)
        .putLong(contentHash)
        .hash()
        .asLong();
  }
}
