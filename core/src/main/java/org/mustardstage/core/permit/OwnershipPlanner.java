package org.mustardstage.core.permit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.mustardstage.core.id.VmIncarnation;

/** Works out new owners of the parts of a zone. */
final class OwnershipPlanner {
  private OwnershipPlanner() {}

  /** Returns an even spread of all parts over {@code vms}. */
  static List<VmIncarnation> spread(List<VmIncarnation> vms) {
    List<VmIncarnation> owners = new ArrayList<>();
    for (int part = 0; part < OwnershipList.PART_COUNT; part++) {
      owners.add(vms.get(part % vms.size()));
    }
    return owners;
  }

  /**
   * Returns the owners after each part of a VM that is {@code gone} went to the VM with the fewest
   * parts.
   */
  static List<VmIncarnation> replace(
      List<VmIncarnation> owners, Predicate<VmIncarnation> gone, List<VmIncarnation> vms) {
    Map<VmIncarnation, Integer> counts = count(owners, vms);
    List<VmIncarnation> changed = new ArrayList<>(owners);
    for (int part = 0; part < changed.size(); part++) {
      if (gone.test(changed.get(part))) {
        VmIncarnation successor = withFewest(counts);
        changed.set(part, successor);
        counts.merge(successor, 1, Integer::sum);
      }
    }
    return changed;
  }

  /**
   * Returns the owners after {@code giver} gave the parts that it has past its fair share to VMs
   * that have less than theirs.
   */
  static List<VmIncarnation> rebalance(
      List<VmIncarnation> owners, VmIncarnation giver, List<VmIncarnation> vms) {
    Map<VmIncarnation, Integer> counts = count(owners, vms);
    int most = (OwnershipList.PART_COUNT + vms.size() - 1) / vms.size();
    int least = OwnershipList.PART_COUNT / vms.size();
    int excess = countOf(owners, giver) - (vms.contains(giver) ? most : 0);
    List<VmIncarnation> changed = new ArrayList<>(owners);
    for (int part = 0; part < changed.size() && excess > 0; part++) {
      VmIncarnation successor = withFewest(counts);
      boolean isWorthIt = !vms.contains(giver) || counts.get(successor) < least;
      if (changed.get(part).equals(giver) && isWorthIt) {
        changed.set(part, successor);
        counts.merge(successor, 1, Integer::sum);
        excess--;
      }
    }
    return changed;
  }

  private static Map<VmIncarnation, Integer> count(
      List<VmIncarnation> owners, List<VmIncarnation> vms) {
    Map<VmIncarnation, Integer> counts = new TreeMap<>();
    vms.forEach(vm -> counts.put(vm, 0));
    for (VmIncarnation owner : owners) {
      counts.computeIfPresent(owner, (vm, count) -> count + 1);
    }
    return counts;
  }

  private static int countOf(List<VmIncarnation> owners, VmIncarnation vm) {
    return (int) owners.stream().filter(vm::equals).count();
  }

  private static VmIncarnation withFewest(Map<VmIncarnation, Integer> counts) {
    VmIncarnation fewest = null;
    for (Map.Entry<VmIncarnation, Integer> entry : counts.entrySet()) {
      if (fewest == null || entry.getValue() < counts.get(fewest)) {
        fewest = entry.getKey();
      }
    }
    return fewest;
  }

  /** Returns the parts whose owner differs, by their new owner. */
  static Map<VmIncarnation, List<Integer>> changes(
      List<VmIncarnation> before, List<VmIncarnation> after) {
    Map<VmIncarnation, List<Integer>> changes = new HashMap<>();
    for (int part = 0; part < after.size(); part++) {
      if (before.isEmpty() || !before.get(part).equals(after.get(part))) {
        changes.computeIfAbsent(after.get(part), vm -> new ArrayList<>()).add(part);
      }
    }
    return changes;
  }
}
