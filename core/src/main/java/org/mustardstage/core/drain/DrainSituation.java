package org.mustardstage.core.drain;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Map;
import java.util.Set;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.ZoneId;

/**
 * The known state of the running system when drains are checked.
 *
 * @param alreadyDraining the endpoints that drain by the VM list or their own reports
 * @param slotsInUse the average number of slots in use by service; a service without an entry has
 *     no known demand
 * @param entryVms the entry VMs of each zone; empty if they are not known
 */
public record DrainSituation(
    Set<EndpointId> alreadyDraining,
    Map<ServiceName, Double> slotsInUse,
    Map<ZoneId, Set<VmId>> entryVms) {
  /** The situation when nothing but the manifest is known. */
  public static final DrainSituation UNKNOWN =
      new DrainSituation(ImmutableSet.of(), ImmutableMap.of(), ImmutableMap.of());

  /** Copies the collections. */
  public DrainSituation {
    alreadyDraining = ImmutableSet.copyOf(alreadyDraining);
    slotsInUse = ImmutableMap.copyOf(slotsInUse);
    entryVms = ImmutableMap.copyOf(entryVms);
  }

  /** Returns whether {@code vm} is in the list of entry VMs, or the list is not known. */
  boolean mayContain(VmId vm) {
    return entryVms.isEmpty() || entryVms.values().stream().anyMatch(vms -> vms.contains(vm));
  }
}
