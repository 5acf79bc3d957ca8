package org.mustardstage.core.drain;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.Drain;
import org.mustardstage.core.manifest.DrainTarget;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.Service;

/**
 * What gets no new work: an endpoint leaves as soon as the manifest, the VM list or the endpoint
 * itself says so, and stays out until none of them does.
 *
 * @param endpoints the endpoints that leave, each with the causes
 * @param entryVms the entry VMs that leave the look-up answers
 */
public record DrainPlan(Map<EndpointId, Set<DrainCause>> endpoints, Set<VmId> entryVms) {
  /** The plan by which nothing leaves. */
  public static final DrainPlan NONE = new DrainPlan(ImmutableMap.of(), ImmutableSet.of());

  /** Copies the collections. */
  public DrainPlan {
    endpoints = ImmutableMap.copyOf(endpoints);
    entryVms = ImmutableSet.copyOf(entryVms);
  }

  /**
   * Returns the plan that follows from what is known now.
   *
   * @param manifest the manifest in force
   * @param leavingInVmList the endpoints whose VMs the platform's list shows as leaving
   * @param leavingByOwnReport whether an endpoint says of itself that it leaves
   */
  public static DrainPlan of(
      Manifest manifest,
      Set<EndpointId> leavingInVmList,
      Predicate<EndpointId> leavingByOwnReport) {
    Set<EndpointId> drainedEndpoints = new HashSet<>();
    Set<ZoneId> drainedZones = new HashSet<>();
    Set<VmId> drainedVms = new HashSet<>();
    for (Drain drain : manifest.drains()) {
      switch (drain.target()) {
        case DrainTarget.OfEndpoint(EndpointId endpoint) -> drainedEndpoints.add(endpoint);
        case DrainTarget.OfZone(ZoneId zone) -> drainedZones.add(zone);
        case DrainTarget.OfEntryVm(VmId vm) -> drainedVms.add(vm);
      }
    }
    ImmutableMap.Builder<EndpointId, Set<DrainCause>> leaving = ImmutableMap.builder();
    for (Service service : manifest.services()) {
      for (Endpoint endpoint : service.endpoints()) {
        EndpointId id = endpoint.id();
        Set<DrainCause> causes = EnumSet.noneOf(DrainCause.class);
        addIf(drainedEndpoints.contains(id), DrainCause.MANIFEST, causes);
        addIf(drainedZones.contains(endpoint.zone()), DrainCause.MANIFEST, causes);
        addIf(leavingInVmList.contains(id), DrainCause.VM_LIST, causes);
        addIf(leavingByOwnReport.test(id), DrainCause.OWN_REPORT, causes);
        if (!causes.isEmpty()) {
          leaving.put(id, ImmutableSet.copyOf(causes));
        }
      }
    }
    return new DrainPlan(leaving.buildOrThrow(), drainedVms);
  }

  /** Returns whether {@code endpoint} gets no new work. */
  public boolean isDraining(EndpointId endpoint) {
    return endpoints.containsKey(endpoint);
  }

  /** Returns why {@code endpoint} leaves, empty when it stays. */
  public Set<DrainCause> causesOf(EndpointId endpoint) {
    return Optional.ofNullable(endpoints.get(endpoint)).orElse(ImmutableSet.of());
  }

  /** Returns whether the entry VM leaves the look-up answers. */
  public boolean isDraining(VmId entryVm) {
    return entryVms.contains(entryVm);
  }

  private static void addIf(boolean holds, DrainCause cause, Set<DrainCause> causes) {
    if (holds) {
      causes.add(cause);
    }
  }
}
