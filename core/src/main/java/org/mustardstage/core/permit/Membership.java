package org.mustardstage.core.permit;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;

/**
 * The entry VMs of all zones, with their latest known liveness. This VM counts as alive until it
 * stops.
 */
final class Membership {
  private final VmIncarnation self;
  private final ZoneId ownZone;
  private final Set<VmIncarnation> stopping = new HashSet<>();
  private Map<VmIncarnation, ZoneMember> byVm = new HashMap<>();
  private final Map<VmId, Long> newestIncarnations = new HashMap<>();
  private final Map<ZoneId, ImmutableList<VmIncarnation>> aliveByZone = new TreeMap<>();

  Membership(VmIncarnation self, ZoneId ownZone) {
    this.self = self;
    this.ownZone = ownZone;
    update(ImmutableList.of());
  }

  /** Replaces the members. */
  void update(List<ZoneMember> members) {
    byVm = new HashMap<>();
    for (ZoneMember member : members) {
      byVm.put(member.vm(), member);
    }
    byVm.put(self, new ZoneMember(self, ownZone, true, false));
    stopping.retainAll(byVm.keySet());
    indexIncarnations();
    indexAlive();
  }

  /** Records that {@code vm} is stopping; it no longer counts as alive. */
  void markStopping(VmIncarnation vm) {
    stopping.add(vm);
    indexAlive();
  }

  private void indexIncarnations() {
    newestIncarnations.clear();
    for (VmIncarnation vm : byVm.keySet()) {
      newestIncarnations.merge(vm.vm(), vm.number(), Math::max);
    }
  }

  private void indexAlive() {
    Map<ZoneId, TreeSet<VmIncarnation>> alive = new TreeMap<>();
    for (ZoneMember member : byVm.values()) {
      if (isAlive(member)) {
        alive.computeIfAbsent(member.zone(), zone -> new TreeSet<>()).add(member.vm());
      }
    }
    aliveByZone.clear();
    alive.forEach((zone, vms) -> aliveByZone.put(zone, ImmutableList.copyOf(vms)));
  }

  private boolean isAlive(ZoneMember member) {
    return member.alive() && !member.provenGone() && !stopping.contains(member.vm());
  }

  /** Returns the VMs of {@code zone} that are believed alive and not stopping, in sorted order. */
  List<VmIncarnation> aliveIn(ZoneId zone) {
    return aliveByZone.getOrDefault(zone, ImmutableList.of());
  }

  /** Returns whether {@code vm} is known to belong to {@code zone}. */
  boolean isIn(VmIncarnation vm, ZoneId zone) {
    ZoneMember member = byVm.get(vm);
    return member != null && member.zone().equals(zone);
  }

  /**
   * Returns whether another VM of {@code zone} may be running: it is neither replaced by a newer
   * incarnation nor proven gone.
   */
  boolean mayOtherVmRunIn(ZoneId zone) {
    for (ZoneMember member : byVm.values()) {
      if (member.zone().equals(zone) && !member.vm().equals(self) && !isReplaced(member.vm())) {
        if (!member.provenGone()) {
          return true;
        }
      }
    }
    return false;
  }

  /** Returns whether {@code vm} may still be running, so that its ownership must not be taken. */
  boolean mayRun(VmIncarnation vm, PermitGuards guards) {
    return !guards.mayTakeOwnership(resolve(vm));
  }

  private ZoneMember resolve(VmIncarnation vm) {
    ZoneMember known = byVm.getOrDefault(vm, new ZoneMember(vm, ownZone, false, false));
    boolean provenGone = known.provenGone() || isReplaced(vm);
    return new ZoneMember(vm, known.zone(), known.alive(), provenGone);
  }

  private boolean isReplaced(VmIncarnation vm) {
    Long newest = newestIncarnations.get(vm.vm());
    return newest != null && newest > vm.number();
  }

  /** Returns all known VMs. */
  Set<VmIncarnation> knownVms() {
    return byVm.keySet();
  }
}
