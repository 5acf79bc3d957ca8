package org.mustardstage.core.member;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.mustardstage.core.id.ZoneId;

/** Holds the newest known digest of each zone. */
final class DigestTable {
  private final TreeMap<ZoneId, ZoneDigest> digests = new TreeMap<>();
  private final Map<ZoneId, DigestVersion> versions = new HashMap<>();
  private long hash;

  /** Stores {@code digest} if it is newer than the stored one. Returns whether it was stored. */
  boolean putIfNewer(ZoneDigest digest) {
    DigestVersion offered = digest.toDigestVersion();
    DigestVersion held = versions.get(digest.zone());
    if (held != null && !offered.isNewerThan(held)) {
      return false;
    }
    digests.put(digest.zone(), digest);
    versions.put(digest.zone(), offered);
    hash = computeHash();
    return true;
  }

  private long computeHash() {
    long sum = 0;
    for (DigestVersion version : versions.values()) {
      sum += version.hash();
    }
    return sum;
  }

  long hash() {
    return hash;
  }

  Optional<ZoneDigest> find(ZoneId zone) {
    return Optional.ofNullable(digests.get(zone));
  }

  ImmutableSortedMap<ZoneId, ZoneDigest> all() {
    return ImmutableSortedMap.copyOfSorted(digests);
  }

  MemberMessage.DigestSummary toSummary() {
    return new MemberMessage.DigestSummary(ImmutableList.copyOf(versions.values()));
  }

  /** Stores the digest that {@code update} describes if it is newer than the stored one. */
  void putIfNewer(DigestUpdate update) {
    update.toDigest(find(update.zone())).ifPresent(this::putIfNewer);
  }

  /** Returns the digests that a VM with the versions {@code theirs} lacks. */
  List<DigestUpdate> updatesFor(List<DigestVersion> theirs) {
    Map<ZoneId, DigestVersion> held = new HashMap<>();
    theirs.forEach(version -> held.put(version.zone(), version));
    List<DigestUpdate> newer = new ArrayList<>();
    for (ZoneDigest digest : digests.values()) {
      DigestVersion other = held.get(digest.zone());
      if (other == null || versions.get(digest.zone()).isNewerThan(other)) {
        newer.add(digest.toUpdate(Optional.ofNullable(other).map(DigestVersion::membersHash)));
      }
    }
    return newer;
  }

  /** Returns whether {@code theirs} contains a version that is newer than the stored one. */
  boolean lacksAnyOf(List<DigestVersion> theirs) {
    return theirs.stream().anyMatch(this::lacks);
  }

  private boolean lacks(DigestVersion other) {
    DigestVersion own = versions.get(other.zone());
    return own == null || other.isNewerThan(own);
  }
}
