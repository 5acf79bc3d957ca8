package org.mustardstage.core.member;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.ZoneId;

/**
 * What one VM believes of all members, itself included. It never changes.
 *
 * @param self the VM that holds the view
 * @param statuses all members; the own zone by heartbeats, other zones by their digests
 * @param silentZones zones that were not heard of for long
 */
public record MemberView(Member self, List<MemberStatus> statuses, Set<ZoneId> silentZones) {
  /** Copies the collections. */
  public MemberView {
    statuses = ImmutableList.copyOf(statuses);
    silentZones = ImmutableSet.copyOf(silentZones);
  }

  /** Returns the member that is the latest known run of {@code vm}. */
  public Optional<Member> find(VmId vm) {
    return statuses.stream()
        .map(MemberStatus::member)
        .filter(member -> member.vm().equals(vm))
        .max(Comparator.comparingLong(member -> member.incarnation().number()));
  }

  /** Returns the members that callers may be sent to, those of silent zones only if no others. */
  public ImmutableList<Member> membersAcceptingCallers() {
    ImmutableList<Member> heard = membersAcceptingCallers(status -> !isInSilentZone(status.member()));
    return heard.isEmpty() ? membersAcceptingCallers(status -> true) : heard;
  }

  private ImmutableList<Member> membersAcceptingCallers(Predicate<MemberStatus> filter) {
    return statuses.stream()
        .filter(MemberStatus::acceptsCallers)
        .filter(filter)
        .map(MemberStatus::member)
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns whether {@code member} runs in a zone that was not heard of for long. */
  public boolean isInSilentZone(Member member) {
    return silentZones.contains(member.zone());
  }

  /** Returns the members of the own zone that are believed alive, itself included. */
  public ImmutableList<Member> aliveInOwnZone() {
    return statuses.stream()
        .filter(MemberStatus::isAlive)
        .map(MemberStatus::member)
        .filter(member -> member.zone().equals(self.zone()))
        .collect(ImmutableList.toImmutableList());
  }
}
