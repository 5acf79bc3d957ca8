package org.mustardstage.core.member;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.mustardstage.core.id.VmId;

/**
 * Elects the VM that represents a zone or a region: the candidate with the smallest hash, so that
 * all VMs with the same view elect the same one without messages. While views differ, two VMs may
 * both act as the representative, which only costs additional messages.
 */
public final class Representatives {
  private Representatives() {}

  /**
   * Returns the representative of {@code group} among {@code candidates}; a leaving VM is chosen
   * only when no other is left.
   */
  public static Optional<Member> choose(String group, Collection<Member> candidates) {
    return choose(new MemberRanks(), group, candidates);
  }

  /** Does the same as {@link #choose(String, Collection)}, with ranks that are kept. */
  public static Optional<Member> choose(
      MemberRanks ranks, String group, Collection<Member> candidates) {
    return candidates.stream()
        .min(
            Comparator.<Member>comparingInt(member -> member.leaving() ? 1 : 0)
                .thenComparingLong(member -> ranks.rank(group, member.vm()))
                .thenComparing(Member::vm));
  }

  /**
   * Returns whether {@code member} is among the {@code count} first of {@code candidates} by hash.
   */
  public static boolean isAmongFirst(
      int count, String group, Member member, Collection<Member> candidates) {
    return isAmongFirst(new MemberRanks(), count, group, member, candidates);
  }

  /**
   * Does the same as {@link #isAmongFirst(int, String, Member, Collection)}, with ranks that are
   * kept.
   */
  public static boolean isAmongFirst(
      MemberRanks ranks, int count, String group, Member member, Collection<Member> candidates) {
    return rankOf(ranks, group, member.vm(), candidates) < count;
  }

  /** Returns the {@code count} first of {@code candidates} by hash. */
  public static ImmutableList<Member> first(
      int count, String group, Collection<Member> candidates) {
    return first(new MemberRanks(), count, group, candidates);
  }

  /** Does the same as {@link #first(int, String, Collection)}, with ranks that are kept. */
  public static ImmutableList<Member> first(
      MemberRanks ranks, int count, String group, Collection<Member> candidates) {
    return candidates.stream()
        .sorted(
            Comparator.<Member>comparingLong(member -> ranks.rank(group, member.vm()))
                .thenComparing(Member::vm))
        .limit(count)
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns how many of {@code candidates} come before {@code vm} by hash. */
  public static int rankOf(
      MemberRanks ranks, String group, VmId vm, Collection<Member> candidates) {
    long ownRank = ranks.rank(group, vm);
    return (int)
        candidates.stream()
            .filter(other -> !other.vm().equals(vm) && ranks.rank(group, other.vm()) < ownRank)
            .count();
  }
}
