package org.mustardstage.core.quota;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mustardstage.core.id.TenantName;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.lookup.LargeVmSelector;
import org.mustardstage.core.member.Member;
import org.mustardstage.core.member.MemberRanks;
import org.mustardstage.core.member.MemberStatus;
import org.mustardstage.core.member.MemberView;
import org.mustardstage.core.member.PeerRelease;
import org.mustardstage.core.member.Representatives;

/**
 * Elects by hash the VM that collects the shares of a zone and the VM that hands out the quotas of
 * a group of tenants. VMs may elect different ones while their views differ; shares exist once all
 * the same.
 *
 * <p>Handles VMs that fail or stop to answer: a VM that doesn't answer is passed over for a while,
 * as the view of the VMs shows a failure in another region only after seconds.
 */
final class QuotaRoles {
  /** Spreads the work over VMs, while each VM has links to few of them. */
  static final int GROUPS = 8;

  private static final int CANDIDATES = 4;
  private static final long PASSED_OVER_NANOS = Duration.ofSeconds(3).toNanos();

  /**
   * How long a VM that is not alive counts as one that may only be cut off and use its share. Cuts
   * between regions last minutes.
   */
  private static final long CUT_OFF_AT_MOST_NANOS = Duration.ofMinutes(10).toNanos();

  private final VmId self;
  private final MemberRanks ranks = new MemberRanks();
  private final Map<VmId, Long> lastAliveNanos = new HashMap<>();
  private final Map<VmId, Long> passedOverUntilNanos = new HashMap<>();
  private final Map<Integer, ImmutableList<VmId>> candidates = new HashMap<>();
  private List<Member> usable = List.of();
  private List<Member> usableInZone = List.of();

  QuotaRoles(VmId self) {
    this.self = self;
  }

  /** Returns the group that a tenant belongs to. */
  static int groupOf(TenantName tenant) {
    int hash =
        Hashing.murmur3_32_fixed().hashString(tenant.value(), StandardCharsets.UTF_8).asInt();
    return Math.floorMod(hash, GROUPS);
  }

  void setMembers(long nowNanos, MemberView view) {
    for (MemberStatus status : view.statuses()) {
      boolean hasStopped = status.member().leaving() || status.provenGone();
      if (!status.isAlive() && hasStopped) {
        lastAliveNanos.remove(status.member().vm());
      }
    }
    view.alive().forEach(member -> lastAliveNanos.put(member.vm(), nowNanos));
    usable =
        LargeVmSelector.selectPerZone(
            view.statuses().stream()
                .filter(MemberStatus::acceptsCallers)
                .map(MemberStatus::member)
                .filter(member -> member.release() >= PeerRelease.TENANT_QUOTAS)
                .toList());
    usableInZone =
        usable.stream().filter(member -> member.zone().equals(view.self().zone())).toList();
    candidates.clear();
  }

  /** Returns the VM that collects the shares of the own zone. */
  VmId collector(long nowNanos) {
    return choose(nowNanos, QuotaMessage.ALL_GROUPS);
  }

  /** Returns the VM that hands out the quotas of {@code group}. */
  VmId owner(long nowNanos, int group) {
    return choose(nowNanos, group);
  }

  private VmId choose(long nowNanos, int group) {
    ImmutableList<VmId> ordered = candidates.computeIfAbsent(group, this::orderCandidates);
    return ordered.stream()
        .filter(vm -> nowNanos - passedOverUntilNanos.getOrDefault(vm, nowNanos) >= 0)
        .findFirst()
        .orElse(ordered.isEmpty() ? self : ordered.getFirst());
  }

  private ImmutableList<VmId> orderCandidates(int group) {
    List<Member> from = group == QuotaMessage.ALL_GROUPS ? usableInZone : usable;
    return Representatives.first(ranks, CANDIDATES, "quota/" + group, from).stream()
        .map(Member::vm)
        .collect(ImmutableList.toImmutableList());
  }

  /** Passes over a VM that doesn't answer. */
  void passOver(long nowNanos, VmId vm) {
    if (!vm.equals(self)) {
      passedOverUntilNanos.put(vm, nowNanos + PASSED_OVER_NANOS);
    }
  }

  /**
   * Returns the number of VMs that may use a share: those that are alive, and those that may only
   * be cut off. VMs of earlier releases know no quotas and count too.
   */
  int knownVms(long nowNanos) {
    lastAliveNanos.values().removeIf(each -> nowNanos - each > CUT_OFF_AT_MOST_NANOS);
    passedOverUntilNanos.values().removeIf(until -> nowNanos - until >= 0);
    return Math.max(1, lastAliveNanos.size());
  }
}
