package org.mustardstage.core.placement;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.mustardstage.core.gateway.RoutingRule;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.lookup.LargeVmSelector;
import org.mustardstage.core.member.Member;
import org.mustardstage.core.member.MemberStatus;
import org.mustardstage.core.member.MemberView;
import org.mustardstage.core.member.PeerRelease;
import org.mustardstage.core.tenant.Tenant;

/**
 * Chooses the VM to which this VM relays a request while it is cut off from the endpoints.
 *
 * <p>Handles the cut of many VMs at once, also of most of a zone: relayed requests are spread over
 * all VMs of the region, as the few that are left in the zone could not carry them. Of two VMs
 * drawn at random, the one with fewer relayed requests in flight is chosen. A request whose rule or
 * tenant names regions is relayed to these only. VMs of an earlier release that does not know
 * relayed requests are left out, and for the requests of tenants those that do not know tenants.
 */
public final class RelaySelector {
  /** A VM that failed is probably gone, or cut off itself, which the members show within this. */
  private static final long AVOID_FAILED_NANOS = 2_000_000_000L;

  private final VmId self;
  private final RandomGenerator random;
  private final Map<VmId, Integer> inFlight = new HashMap<>();
  private final Map<VmId, Long> failedNanos = new HashMap<>();
  private Optional<Member> selfMember = Optional.empty();
  private ImmutableList<Member> candidates = ImmutableList.of();
  private ImmutableSet<VmId> aliveVms = ImmutableSet.of();

  /** Creates a selector that knows no VM yet. */
  public RelaySelector(VmId self, RandomGenerator random) {
    this.self = self;
    this.random = random;
  }

  /** Replaces the view of the VMs. */
  public void setMembers(MemberView view) {
    selfMember = Optional.of(view.self());
    aliveVms =
        view.statuses().stream()
            .filter(status -> status.liveness() == MemberStatus.Liveness.ALIVE)
            .map(status -> status.member().vm())
            .collect(ImmutableSet.toImmutableSet());
    candidates =
        LargeVmSelector.selectPerZone(
            view.statuses().stream()
                .filter(MemberStatus::reachesEndpoints)
                .map(MemberStatus::member)
                .filter(member -> member.release() >= PeerRelease.RELAYED_REQUESTS)
                .filter(member -> !member.vm().equals(self))
                .filter(member -> !view.isInSilentZone(member))
                .toList());
  }

  /**
   * Returns a VM that may send a request of {@code rule} to endpoints, in this VM's region if one
   * is there; empty if there is none.
   *
   * @param tenant the tenant whose caller sent the request; empty if the request needs no key
   * @param tried the VMs that must not be chosen again
   */
  public Optional<Member> choose(
      long nowNanos, RoutingRule rule, Optional<Tenant> tenant, Set<VmId> tried) {
    failedNanos.values().removeIf(nanos -> nowNanos - nanos > AVOID_FAILED_NANOS);
    List<Member> allowed =
        candidates.stream()
            .filter(member -> rule.allowsRegion(member.region()))
            .filter(member -> tenant.isEmpty() || mayServe(member, tenant.get()))
            .filter(member -> !tried.contains(member.vm()))
            .filter(member -> !failedNanos.containsKey(member.vm()))
            .toList();
    Optional<RegionId> ownRegion = selfMember.map(Member::region);
    List<Member> inOwnRegion =
        allowed.stream().filter(member -> ownRegion.equals(Optional.of(member.region()))).toList();
    return lessLoadedOfTwo(inOwnRegion.isEmpty() ? allowed : inOwnRegion);
  }

  private static boolean mayServe(Member member, Tenant tenant) {
    return tenant.allowsRegion(member.region()) && member.release() >= PeerRelease.API_KEYS;
  }

  /** Returns whether a VM is neither dead nor suspected, so that a relayed request may go on. */
  public boolean isAlive(VmId vm) {
    return aliveVms.contains(vm);
  }

  private Optional<Member> lessLoadedOfTwo(List<Member> members) {
    if (members.isEmpty()) {
      return Optional.empty();
    }
    Member first = members.get(random.nextInt(members.size()));
    Member second = members.get(random.nextInt(members.size()));
    return Optional.of(load(first) <= load(second) ? first : second);
  }

  private double load(Member member) {
    return (inFlight.getOrDefault(member.vm(), 0) + 1.0) / member.milliCores();
  }

  /** Records that a request was relayed to a VM. */
  public void recordSent(VmId vm) {
    inFlight.merge(vm, 1, Integer::sum);
  }

  /** Records that a relayed request has ended, however that was. */
  public void recordEnded(VmId vm) {
    inFlight.computeIfPresent(vm, (key, count) -> count > 1 ? count - 1 : null);
  }

  /** Records that a VM could not be reached, did not respond, or could not serve a request. */
  public void recordFailed(long nowNanos, VmId vm) {
    failedNanos.put(vm, nowNanos);
  }
}
