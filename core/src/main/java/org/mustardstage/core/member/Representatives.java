package org.mustardstage.core.member;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.mustardstage.core.id.VmId;

/**
 * Elects the VM that represents a zone or a region: the candidate with the smallest hash, so that
 * all VMs with the same view elect the same one without messages. While views differ, two VMs may
 * both act as the representative, which only costs additional messages.
 */
public final class Representatives {
  /** Bounds the memory of the cache, which is cleared when it holds more. */
  private static final int MAX_CACHED_RANKS = 10_000;

  private static final Map<RankKey, Long> RANKS = new ConcurrentHashMap<>();

  private record RankKey(String group, VmId vm) {}

  private Representatives() {}

  /**
   * Returns the representative of {@code group} among {@code candidates}; a leaving VM is chosen
   * only when no other is left.
   */
  public static Optional<Member> choose(String group, Collection<Member> candidates) {
    return candidates.stream()
        .min(
            Comparator.<Member>comparingInt(member -> member.leaving() ? 1 : 0)
                .thenComparingLong(member -> rank(group, member))
                .thenComparing(Member::vm));
  }

  /**
   * Returns whether {@code member} is among the {@code count} first of {@code candidates} by hash.
   */
  public static boolean isAmongFirst(
      int count, String group, Member member, Collection<Member> candidates) {
    long ownRank = rank(group, member);
    long precedingCount =
        candidates.stream()
            .filter(other -> !other.vm().equals(member.vm()) && rank(group, other) < ownRank)
            .count();
    return precedingCount < count;
  }

  /** Returns the hash, which is asked for again with each heartbeat. */
  private static long rank(String group, Member member) {
    if (RANKS.size() >= MAX_CACHED_RANKS) {
      RANKS.clear();
    }
    return RANKS.computeIfAbsent(new RankKey(group, member.vm()), Representatives::computeRank);
  }

  private static long computeRank(RankKey key) {
    return Hashing.murmur3_128()
        .hashString(key.group() + "/" + key.vm().value(), StandardCharsets.UTF_8)
        .asLong();
  }
}
