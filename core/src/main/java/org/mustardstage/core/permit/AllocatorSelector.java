package org.mustardstage.core.permit;

import java.util.Collection;
import org.mustardstage.core.id.VmIncarnation;

/**
 * Selects the allocator of a limit: the VM that collects the idle permits of the limit and that
 * others request leases from. Uses rendezvous hashing over the VMs believed alive, so that all VMs
 * select the same one without coordination and few limits move when a VM joins or leaves.
 */
final class AllocatorSelector {
  private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;
  private static final int HASH_SHIFT_BITS = 29;

  private AllocatorSelector() {}

  /** Returns the allocator of {@code limit} among {@code vms}, or null if there is none. */
  static VmIncarnation select(LimitId limit, Collection<VmIncarnation> vms) {
    VmIncarnation best = null;
    long bestScore = 0;
    for (VmIncarnation vm : vms) {
      long score = score(limit.hashCode(), vm);
      if (best == null || score > bestScore || (score == bestScore && vm.compareTo(best) < 0)) {
        best = vm;
        bestScore = score;
      }
    }
    return best;
  }

  private static long score(int limitHash, VmIncarnation vm) {
    long hash = (limitHash * 31L + vm.vm().value().hashCode()) * 31L + vm.number();
    hash = (hash ^ (hash >>> HASH_SHIFT_BITS)) * HASH_MULTIPLIER;
    hash = (hash ^ (hash >>> HASH_SHIFT_BITS)) * HASH_MULTIPLIER;
    return hash ^ (hash >>> HASH_SHIFT_BITS);
  }
}
