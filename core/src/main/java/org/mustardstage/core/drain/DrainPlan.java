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
 * The endpoints and entry VMs that get no new work. An endpoint drains as long as the manifest, the
 * VM list or the endpoint itself says so.
 *
 * @param endpoints the draining endpoints, each with the causes
 * @param entryVms the entry VMs that are left out of lookup responses
 */
public record DrainPlan(Map<EndpointId, Set<DrainCause>> endpoints, Set<VmId> entryVms) {
  /** The plan that drains nothing. */
  public static final DrainPlan NONE = new DrainPlan(ImmutableMap.of(), ImmutableSet.of());

  /** Copies the collections. */
  public DrainPlan {
    endpoints = ImmutableMap.copyOf(endpoints);
    entryVms = ImmutableSet.copyOf(entryVms);
  }

  /**
   * Returns the plan that follows from the current state.
   *
   * @param manifest the active manifest
   * @param leavingInVmList the endpoints whose VMs the platform's list shows as leaving
   * @param drainingByOwnReport whether an endpoint reports itself as draining
   */
  public static DrainPlan of(
      Manifest manifest,
      Set<EndpointId> leavingInVmList,
      Predicate<EndpointId> drainingByOwnReport) {
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
    ImmutableMap.Builder<EndpointId, Set<DrainCause>> causesByEndpoint = ImmutableMap.builder();
    for (Service service : manifest.services()) {
      for (Endpoint endpoint : service.endpoints()) {
        EndpointId id = endpoint.id();
        Set<DrainCause> causes = EnumSet.noneOf(DrainCause.class);
        addIf(drainedEndpoints.contains(id), DrainCause.MANIFEST, causes);
        addIf(drainedZones.contains(endpoint.zone()), DrainCause.MANIFEST, causes);
        addIf(leavingInVmList.contains(id), DrainCause.VM_LIST, causes);
        addIf(drainingByOwnReport.test(id), DrainCause.OWN_REPORT, causes);
        if (!causes.isEmpty()) {
          causesByEndpoint.put(id, ImmutableSet.copyOf(causes));
        }
      }
    }
    return new DrainPlan(causesByEndpoint.buildOrThrow(), drainedVms);
  }

  /** Returns whether {@code endpoint} gets no new work. */
  public boolean isDraining(EndpointId endpoint) {
    return endpoints.containsKey(endpoint);
  }

  /** Returns why {@code endpoint} is draining; empty if it is not. */
  public Set<DrainCause> causesOf(EndpointId endpoint) {
    return Optional.ofNullable(endpoints.get(endpoint)).orElse(ImmutableSet.of());
  }

  /** Returns whether the entry VM is left out of lookup responses. */
  public boolean isDraining(VmId entryVm) {
    return entryVms.contains(entryVm);
  }

  private static void addIf(boolean condition, DrainCause cause, Set<DrainCause> causes) {
    if (condition) {
      causes.add(cause);
    }
  }
}
