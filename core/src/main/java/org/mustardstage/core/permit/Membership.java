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

/** What is believed of the VMs. */
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

  /** Takes over what is believed now. */
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

  /** Takes over that {@code vm} is stopping. */
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

  /** Returns the VMs of {@code zone} that are believed alive and not stopping, sorted. */
  List<VmIncarnation> aliveIn(ZoneId zone) {
    return aliveByZone.getOrDefault(zone, ImmutableList.of());
  }

  /** Returns whether {@code vm} belongs to {@code zone}, as far as is known. */
  boolean isIn(VmIncarnation vm, ZoneId zone) {
    ZoneMember member = byVm.get(vm);
    return member != null && member.zone().equals(zone);
  }

  /** Returns whether a VM of {@code zone} other than this one may run. */
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

  /** Returns whether {@code vm} may run, as far as is known. */
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

  /** Returns the VMs that are known. */
  Set<VmIncarnation> knownVms() {
    return byVm.keySet();
  }
}
