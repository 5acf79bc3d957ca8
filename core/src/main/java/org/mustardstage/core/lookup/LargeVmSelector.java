package org.mustardstage.core.lookup;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.stream.Collectors;
import org.mustardstage.core.member.Member;

/**
 * Chooses the VMs of a place that callers are sent to.
 *
 * <p>Answers the load in which few large VMs stand beside many small ones: spread over all, each
 * sees too few requests to know which slots are free or to use a connection again, and the small
 * ones are the first to fall behind. They stand by while the large ones have enough room.
 */
public final class LargeVmSelector {
  /** A VM is small if it has less than this part of the largest one's processor. */
  private static final double SMALL_VM_FRACTION = 1.0 / 3;

  /** The large ones have enough room with this part of the processors of all. */
  private static final double SUFFICIENT_CAPACITY_FRACTION = 1.0 / 3;

  /** With fewer, the loss of one would leave nobody that callers know. */
  private static final int MIN_LARGE_VMS = 2;

  private LargeVmSelector() {}

  /** Returns those of {@code vms} that callers are sent to. */
  public static ImmutableList<Member> select(List<Member> vms) {
    int largest = vms.stream().mapToInt(Member::milliCores).max().orElse(0);
    ImmutableList<Member> large =
        vms.stream()
            .filter(vm -> vm.milliCores() >= SMALL_VM_FRACTION * largest)
            .collect(ImmutableList.toImmutableList());
    boolean enough = totalMilliCores(large) >= SUFFICIENT_CAPACITY_FRACTION * totalMilliCores(vms);
    return enough && large.size() >= MIN_LARGE_VMS ? large : ImmutableList.copyOf(vms);
  }

  /** Returns those of {@code vms}, which may be of many zones, that callers of any are sent to. */
  public static ImmutableList<Member> selectPerZone(List<Member> vms) {
    return vms.stream().collect(Collectors.groupingBy(Member::zone)).values().stream()
        .flatMap(ofZone -> select(ofZone).stream())
        .collect(ImmutableList.toImmutableList());
  }

  private static int totalMilliCores(List<Member> vms) {
    return vms.stream().mapToInt(Member::milliCores).sum();
  }
}
