package org.mustardstage.core.lookup;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.stream.Collectors;
import org.mustardstage.core.member.Member;

/**
 * Selects the VMs of a zone that callers are directed to.
 *
 * <p>Handles zones with a few large VMs beside many small ones. If requests were spread over all of
 * them, each VM would see too few requests to know which slots are free or to reuse connections,
 * and the small VMs would be the first to be overloaded. Small VMs are therefore skipped while the
 * large ones have enough capacity.
 */
public final class LargeVmSelector {
  /**
   * A VM is small if it has less than this fraction of the processor capacity of the largest one.
   */
  private static final double SMALL_VM_FRACTION = 1.0 / 3;

  /** The large VMs suffice if they have at least this fraction of the total processor capacity. */
  private static final double SUFFICIENT_CAPACITY_FRACTION = 1.0 / 3;

  /** With fewer large VMs, the loss of one could leave callers without any VM that they know. */
  private static final int MIN_LARGE_VMS = 2;

  private LargeVmSelector() {}

  /** Returns those of {@code vms}, all in one zone, that callers are directed to. */
  public static ImmutableList<Member> select(List<Member> vms) {
    int largest = vms.stream().mapToInt(Member::milliCores).max().orElse(0);
    ImmutableList<Member> large =
        vms.stream()
            .filter(vm -> vm.milliCores() >= SMALL_VM_FRACTION * largest)
            .collect(ImmutableList.toImmutableList());
    boolean isSufficient =
        totalMilliCores(large) >= SUFFICIENT_CAPACITY_FRACTION * totalMilliCores(vms);
    return isSufficient && large.size() >= MIN_LARGE_VMS ? large : ImmutableList.copyOf(vms);
  }

  /**
   * Returns those of {@code vms}, which may be in several zones, that callers are directed to. Each
   * zone is selected independently.
   */
  public static ImmutableList<Member> selectPerZone(List<Member> vms) {
    return vms.stream().collect(Collectors.groupingBy(Member::zone)).values().stream()
        .flatMap(zoneVms -> select(zoneVms).stream())
        .collect(ImmutableList.toImmutableList());
  }

  private static int totalMilliCores(List<Member> vms) {
    return vms.stream().mapToInt(Member::milliCores).sum();
  }
}
