package org.mustardstage.core.id;

import com.google.common.base.Preconditions;
import java.util.Comparator;

/**
 * Identifies one incarnation of an entry VM: one run of its process. A restart gives a new
 * incarnation with a larger number, which owns nothing that the earlier one owned.
 *
 * @param vm the VM
 * @param number the number of the incarnation, larger for later ones of the same VM
 */
public record VmIncarnation(VmId vm, long number) implements Comparable<VmIncarnation> {
  private static final Comparator<VmIncarnation> ORDER =
      Comparator.comparing(VmIncarnation::vm).thenComparingLong(VmIncarnation::number);

  /** Checks that the number is positive. */
  public VmIncarnation {
    Preconditions.checkArgument(number > 0, "incarnation number must be positive: %s", number);
  }

  @Override
  public int compareTo(VmIncarnation other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return vm + "#" + number;
  }
}
