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
 * An immutable snapshot of what one VM believes about all members, itself included.
 *
 * @param self the VM that holds the view
 * @param statuses the status of each member; members of the own zone are judged by their
 *     heartbeats, members of other zones by the digests of their zones
 * @param silentZones the zones from which no message arrived within the timeout
 */
public record MemberView(Member self, List<MemberStatus> statuses, Set<ZoneId> silentZones) {
  /** Copies the collections. */
  public MemberView {
    statuses = ImmutableList.copyOf(statuses);
    silentZones = ImmutableSet.copyOf(silentZones);
  }

  /** Returns the latest known incarnation of {@code vm}. */
  public Optional<Member> find(VmId vm) {
    return statuses.stream()
        .map(MemberStatus::member)
        .filter(member -> member.vm().equals(vm))
        .max(Comparator.comparingLong(member -> member.incarnation().number()));
  }

  /**
   * Returns the members that callers may be directed to. Members that reach no endpoint, and then
   * those of silent zones, are returned only when there are no others.
   */
  public ImmutableList<Member> membersAcceptingCallers() {
    ImmutableList<Member> linked =
        membersAcceptingCallers(
            status -> status.reachesEndpoints() && !isInSilentZone(status.member()));
    if (!linked.isEmpty()) {
      return linked;
    }
    ImmutableList<Member> reachable =
        membersAcceptingCallers(status -> !isInSilentZone(status.member()));
    return reachable.isEmpty() ? membersAcceptingCallers(status -> true) : reachable;
  }

  private ImmutableList<Member> membersAcceptingCallers(Predicate<MemberStatus> filter) {
    return statuses.stream()
        .filter(MemberStatus::acceptsCallers)
        .filter(filter)
        .map(MemberStatus::member)
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns whether {@code member} runs in a silent zone. */
  public boolean isInSilentZone(Member member) {
    return silentZones.contains(member.zone());
  }

  /** Returns all members that are believed alive, suspected ones and this VM included. */
  public ImmutableList<Member> alive() {
    return statuses.stream()
        .filter(MemberStatus::isAlive)
        .map(MemberStatus::member)
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns the members of the own zone that are believed alive, suspected ones and this VM
   * included.
   */
  public ImmutableList<Member> aliveInOwnZone() {
    return alive().stream()
        .filter(member -> member.zone().equals(self.zone()))
        .collect(ImmutableList.toImmutableList());
  }
}
