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

/** The newest digest of each zone. */
final class World {
  private final TreeMap<ZoneId, ZoneDigest> digests = new TreeMap<>();
  private final Map<ZoneId, DigestCounter> counters = new HashMap<>();
  private long hash;

  /** Keeps {@code digest} when it is newer than the one held. Returns whether it was. */
  boolean offer(ZoneDigest digest) {
    DigestCounter offered = digest.toCounter();
    DigestCounter held = counters.get(digest.zone());
    if (held != null && !offered.isNewerThan(held)) {
      return false;
    }
    digests.put(digest.zone(), digest);
    counters.put(digest.zone(), offered);
    hash = computeHash();
    return true;
  }

  private long computeHash() {
    long sum = 0;
    for (DigestCounter counter : counters.values()) {
      sum += counter.hash();
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

  MemberMessage.DigestSummary summary() {
    return new MemberMessage.DigestSummary(ImmutableList.copyOf(counters.values()));
  }

  /** Keeps the digest that {@code update} gives, when it is newer than the one held. */
  void offer(DigestUpdate update) {
    update.toDigest(find(update.zone())).ifPresent(this::offer);
  }

  /** Returns what a VM that holds {@code theirs} lacks. */
  List<DigestUpdate> newerThan(List<DigestCounter> theirs) {
    Map<ZoneId, DigestCounter> held = new HashMap<>();
    theirs.forEach(counter -> held.put(counter.zone(), counter));
    List<DigestUpdate> newer = new ArrayList<>();
    for (ZoneDigest digest : digests.values()) {
      DigestCounter other = held.get(digest.zone());
      if (other == null || counters.get(digest.zone()).isNewerThan(other)) {
        newer.add(digest.toUpdate(Optional.ofNullable(other).map(DigestCounter::membersHash)));
      }
    }
    return newer;
  }

  /** Returns whether {@code theirs} holds a digest that is newer than the one here. */
  boolean isOlderThan(List<DigestCounter> theirs) {
    return theirs.stream().anyMatch(this::lacks);
  }

  private boolean lacks(DigestCounter other) {
    DigestCounter own = counters.get(other.zone());
    return own == null || other.isNewerThan(own);
  }
}
