package org.mustardstage.core.placement;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.lookup.LargeVmSelector;
import org.mustardstage.core.member.Member;
import org.mustardstage.core.member.MemberRanks;
import org.mustardstage.core.member.MemberStatus;
import org.mustardstage.core.member.MemberView;
import org.mustardstage.core.member.MembershipSettings;
import org.mustardstage.core.member.Representatives;

/**
 * Decides which share of a limit that binds all VMs together this VM may use, without messages: of
 * the rate that an endpoint names, and of what a cold endpoint bears.
 *
 * <p>One VM of the endpoint's region, its representative, uses the limit. A share for each VM would
 * be less than one request in many seconds at hundreds of VMs, and the first request of each would
 * already exceed the limit. Handles VMs whose views of each other differ:
 *
 * <ul>
 *   <li>VMs that are cut off from each other have a representative in each part. It uses as much of
 *       the limit as its part has of the region's VMs, so the parts together stay within the limit.
 *   <li>A VM that becomes the representative waits until the one before has probably noticed.
 *   <li>A VM that has just started doesn't know the others, so it uses nothing.
 * </ul>
 */
final class LimitShares {
  /**
   * The part of the limit that a representative uses, so that two VMs that both believe to be it
   * stay within one and a half times the limit.
   */
  private static final double REPRESENTATIVE_SHARE = 0.75;

  /** By then, the VMs know of each other's failure or start. */
  private static final long HANDOVER_NANOS = 4_000_000_000L;

  /** How long VMs that are gone count as VMs of the region that may only be cut off. */
  private static final long GONE_AFTER_NANOS = 60_000_000_000L;

  private final VmId self;
  private final long createdNanos;
  private final MemberRanks ranks = new MemberRanks();
  private final Map<VmId, Gone> gone = new HashMap<>();
  private final Map<RegionId, RegionVms> regions = new HashMap<>();
  private final Map<EndpointId, Role> roles = new HashMap<>();

  /** Caches {@link #rankOf}; cleared when the members change. */
  private final Map<EndpointId, Integer> ownRanks = new HashMap<>();

  private List<MemberStatus> statuses = ImmutableList.of();

  /** A VM that was alive, in which region, and when it no longer was. */
  private record Gone(RegionId region, long sinceNanos) {}

  /**
   * What is known of a region.
   *
   * @param serving the VMs that callers are directed to and that reach endpoints
   * @param aliveCount the number of VMs that are alive
   * @param suspectedCount the number of VMs of which it is not known whether they are
   * @param changedNanos when {@code serving} last changed
   */
  private record RegionVms(
      ImmutableSet<Member> serving, int aliveCount, int suspectedCount, long changedNanos) {}

  /** Whether this VM represents an endpoint, and since when that has not changed. */
  private record Role(RegionId region, boolean representative, long sinceNanos) {}

  LimitShares(VmId self, long nowNanos) {
    this.self = self;
    this.createdNanos = nowNanos;
  }

  /** Replaces the view of the VMs. */
  void setMembers(long nowNanos, MemberView view) {
    recordGone(nowNanos, view);
    statuses = view.statuses();
    ownRanks.clear();
    Map<RegionId, RegionVms> before = Map.copyOf(regions);
    regions.clear();
    statuses.stream()
        .collect(Collectors.groupingBy(status -> status.member().region()))
        .forEach(
            (region, inRegion) ->
                regions.put(
                    region,
                    regionVms(nowNanos, inRegion, Optional.ofNullable(before.get(region)))));
    roles.replaceAll(
        (endpoint, role) -> {
          boolean represents = represents(endpoint, role.region());
          return represents == role.representative()
              ? role
              : new Role(role.region(), represents, nowNanos);
        });
  }

  private void recordGone(long nowNanos, MemberView view) {
    statuses.stream()
        .filter(LimitShares::isAlive)
        .map(MemberStatus::member)
        .forEach(member -> gone.put(member.vm(), new Gone(member.region(), nowNanos)));
    view.statuses().stream()
        .filter(status -> status.liveness() != MemberStatus.Liveness.DEAD)
        .forEach(status -> gone.remove(status.member().vm()));
    gone.values().removeIf(each -> nowNanos - each.sinceNanos() > GONE_AFTER_NANOS);
  }

  private static boolean isAlive(MemberStatus status) {
    return status.liveness() == MemberStatus.Liveness.ALIVE;
  }

  private static RegionVms regionVms(
      long nowNanos, List<MemberStatus> inRegion, Optional<RegionVms> before) {
    ImmutableSet<Member> serving =
        ImmutableSet.copyOf(
            LargeVmSelector.selectPerZone(
                inRegion.stream()
                    .filter(MemberStatus::reachesEndpoints)
                    .map(MemberStatus::member)
                    .toList()));
    Optional<RegionVms> unchanged = before.filter(vms -> vms.serving().equals(serving));
    return new RegionVms(
        serving,
        (int) inRegion.stream().filter(LimitShares::isAlive).count(),
        (int)
            inRegion.stream()
                .filter(status -> status.liveness() == MemberStatus.Liveness.SUSPECTED)
                .count(),
        unchanged.map(RegionVms::changedNanos).orElse(nowNanos));
  }

  /** Forgets what is kept for other endpoints than these. */
  void retainEndpoints(Set<EndpointId> endpoints) {
    roles.keySet().retainAll(endpoints);
    ownRanks.keySet().retainAll(endpoints);
  }

  /** Returns which part of the limit of an endpoint in {@code region} this VM may use, 0 to 1. */
  double shareOf(long nowNanos, EndpointId endpoint, RegionId region) {
    if (nowNanos - createdNanos < MembershipSettings.DISCOVERY_NANOS) {
      return 0;
    }
    Role role = roles.computeIfAbsent(endpoint, id -> initialRole(id, region));
    if (!role.representative() || nowNanos - role.sinceNanos() < HANDOVER_NANOS) {
      return 0;
    }
    RegionVms vms = regions.get(region);
    long goneCount =
        gone.values().stream()
            .filter(each -> each.region().equals(region))
            .filter(each -> nowNanos - each.sinceNanos() <= GONE_AFTER_NANOS)
            .count();
    double knownCount = vms.aliveCount() + vms.suspectedCount() + goneCount;
    return REPRESENTATIVE_SHARE * vms.aliveCount() / Math.max(1, knownCount);
  }

  private Role initialRole(EndpointId endpoint, RegionId region) {
    RegionVms vms = regions.get(region);
    return new Role(
        region, represents(endpoint, region), vms == null ? createdNanos : vms.changedNanos());
  }

  private boolean represents(EndpointId endpoint, RegionId region) {
    RegionVms vms = regions.get(region);
    return vms != null
        && Representatives.choose(ranks, group(endpoint), vms.serving())
            .filter(member -> member.vm().equals(self))
            .isPresent();
  }

  private static String group(EndpointId endpoint) {
    return "limit/" + endpoint;
  }

  /** Returns the number of known VMs, alive or not. */
  int memberCount() {
    return statuses.size();
  }

  /**
   * Returns how many VMs come before this one in the order in which VMs try whether a limit has
   * ended: those of the endpoint's region first.
   */
  int rankOf(EndpointId endpoint, RegionId region) {
    return ownRanks.computeIfAbsent(endpoint, id -> computeRank(id, region));
  }

  private int computeRank(EndpointId endpoint, RegionId region) {
    Map<Boolean, List<Member>> byPlace =
        statuses.stream()
            .map(MemberStatus::member)
            .collect(Collectors.partitioningBy(member -> member.region().equals(region)));
    List<Member> inRegion = byPlace.get(true);
    boolean isInRegion = inRegion.stream().anyMatch(member -> member.vm().equals(self));
    int rank = Representatives.rankOf(ranks, group(endpoint), self, byPlace.get(isInRegion));
    return isInRegion ? rank : inRegion.size() + rank;
  }
}
