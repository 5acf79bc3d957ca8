package org.mustardstage.core.member;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.mustardstage.core.id.ZoneId;

/**
 * Identifies one version of a zone's digest, without its content.
 *
 * @param zone the zone that the digest describes
 * @param sequenceNumber the sequence number of the digest; a larger one replaces a smaller one
 * @param contentHash a hash of the content, which decides between digests with the same number
 * @param membersHash a hash of the member list only
 */
public record DigestVersion(ZoneId zone, long sequenceNumber, long contentHash, long membersHash) {
  /** Returns whether this version replaces {@code other}. */
  public boolean isNewerThan(DigestVersion other) {
    return sequenceNumber != other.sequenceNumber
        ? sequenceNumber > other.sequenceNumber
        : Long.compareUnsigned(contentHash, other.contentHash) > 0;
  }

  /** Returns a hash of this version that is the same on every VM. */
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
