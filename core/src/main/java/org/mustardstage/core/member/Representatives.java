package org.mustardstage.core.member;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Chooses the VM that speaks for a zone or a region: the one with the smallest hash among those
 * believed alive. Two VMs may each believe to be it for a while, which costs messages only.
 */
public final class Representatives {
  private Representatives() {}

  /** Returns the representative of {@code group} among {@code candidates}. */
  public static Optional<Member> choose(String group, Collection<Member> candidates) {
    return candidates.stream()
        .min(
            Comparator.<Member>comparingInt(member -> member.leaving() ? 1 : 0)
                .thenComparingLong(member -> rank(group, member))
                .thenComparing(Member::vm));
  }

  /** Returns whether {@code member} is among the {@code count} first of {@code candidates}. */
  public static boolean isAmongFirst(
      int count, String group, Member member, Collection<Member> candidates) {
    long ownRank = rank(group, member);
    long before =
        candidates.stream()
            .filter(other -> !other.vm().equals(member.vm()) && rank(group, other) < ownRank)
            .count();
    return before < count;
  }

  private static long rank(String group, Member member) {
    return Hashing.murmur3_128()
        .hashString(group + "/" + member.vm().value(), StandardCharsets.UTF_8)
        .asLong();
  }
}
