package org.mustardstage.core.member;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.ZoneId;

/**
 * The live VMs of a zone as its representative sees them.
 *
 * @param zone the zone
 * @param counter the number of the digest; a larger one replaces a smaller one
 * @param entries the live VMs, sorted by name
 */
public record ZoneDigest(ZoneId zone, long counter, List<Entry> entries) {
  /** Copies the list. */
  public ZoneDigest {
    entries = ImmutableList.copyOf(entries);
  }

  /** A live VM and the version of the manifest in force there. */
  public record Entry(Member member, ConfigVersion version) {}

  /** Returns the number and the hash of this digest. */
  public DigestCounter toCounter() {
    Hasher hasher = Hashing.murmur3_128().newHasher();
    for (Entry entry : entries) {
      hasher.putString(entry.member().vm().value(), StandardCharsets.UTF_8);
      hasher.putLong(entry.member().incarnation().number());
      hasher.putBoolean(entry.member().leaving());
      hasher.putLong(entry.version().number());
    }
    return new DigestCounter(zone, counter, hasher.hash().asLong());
  }
}
