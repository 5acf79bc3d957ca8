package org.mustardstage.core.permit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.mustardstage.core.id.VmIncarnation;

/** Computes new owners for the parts of a zone. */
final class OwnershipPlanner {
  private OwnershipPlanner() {}

  /** Returns owners that distribute all parts evenly over {@code vms}. */
  static List<VmIncarnation> distributeEvenly(List<VmIncarnation> vms) {
    List<VmIncarnation> owners = new ArrayList<>();
    for (int part = 0; part < OwnershipList.PART_COUNT; part++) {
      owners.add(vms.get(part % vms.size()));
    }
    return owners;
  }

  /**
   * Returns the owners after reassigning each part of a VM that is {@code gone} to the VM with the
   * fewest parts.
   */
  static List<VmIncarnation> reassign(
      List<VmIncarnation> owners, Predicate<VmIncarnation> gone, List<VmIncarnation> vms) {
    Map<VmIncarnation, Integer> counts = countParts(owners, vms);
    List<VmIncarnation> newOwners = new ArrayList<>(owners);
    for (int part = 0; part < newOwners.size(); part++) {
      if (gone.test(newOwners.get(part))) {
        VmIncarnation successor = vmWithFewestParts(counts);
        newOwners.set(part, successor);
        counts.merge(successor, 1, Integer::sum);
      }
    }
    return newOwners;
  }

  /**
   * Returns the owners after {@code giver} gives the parts beyond its equal share to VMs that have
   * less than theirs. A giver that is not among {@code vms} gives all its parts.
   */
  static List<VmIncarnation> rebalance(
      List<VmIncarnation> owners, VmIncarnation giver, List<VmIncarnation> vms) {
    Map<VmIncarnation, Integer> counts = countParts(owners, vms);
    int maxShare = (OwnershipList.PART_COUNT + vms.size() - 1) / vms.size();
    int minShare = OwnershipList.PART_COUNT / vms.size();
    int excess = countOwnedBy(owners, giver) - (vms.contains(giver) ? maxShare : 0);
    List<VmIncarnation> newOwners = new ArrayList<>(owners);
    for (int part = 0; part < newOwners.size() && excess > 0; part++) {
      VmIncarnation successor = vmWithFewestParts(counts);
      boolean isImprovement = !vms.contains(giver) || counts.get(successor) < minShare;
      if (newOwners.get(part).equals(giver) && isImprovement) {
        newOwners.set(part, successor);
        counts.merge(successor, 1, Integer::sum);
        excess--;
      }
    }
    return newOwners;
  }

  private static Map<VmIncarnation, Integer> countParts(
      List<VmIncarnation> owners, List<VmIncarnation> vms) {
    Map<VmIncarnation, Integer> counts = new TreeMap<>();
    vms.forEach(vm -> counts.put(vm, 0));
    for (VmIncarnation owner : owners) {
      counts.computeIfPresent(owner, (vm, count) -> count + 1);
    }
    return counts;
  }

  private static int countOwnedBy(List<VmIncarnation> owners, VmIncarnation vm) {
    return (int) owners.stream().filter(vm::equals).count();
  }

  private static VmIncarnation vmWithFewestParts(Map<VmIncarnation, Integer> counts) {
    VmIncarnation candidate = null;
    for (Map.Entry<VmIncarnation, Integer> entry : counts.entrySet()) {
      if (candidate == null || entry.getValue() < counts.get(candidate)) {
        candidate = entry.getKey();
      }
    }
    return candidate;
  }

  /** Returns the parts whose owner changes, grouped by their new owner. */
  static Map<VmIncarnation, List<Integer>> changedParts(
      List<VmIncarnation> before, List<VmIncarnation> after) {
    Map<VmIncarnation, List<Integer>> partsByOwner = new HashMap<>();
    for (int part = 0; part < after.size(); part++) {
      if (before.isEmpty() || !before.get(part).equals(after.get(part))) {
        partsByOwner.computeIfAbsent(after.get(part), vm -> new ArrayList<>()).add(part);
      }
    }
    return partsByOwner;
  }
}
