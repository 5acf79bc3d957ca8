package org.mustardstage.core.drain;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.mustardstage.core.id.DrainId;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.Drain;
import org.mustardstage.core.manifest.DrainTarget;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.PlaceLimit;
import org.mustardstage.core.manifest.Service;

/**
 * Checks that all drains of a manifest together leave each service enough capacity: half of its
 * slots, the slots that its demand needs, regions whose limits allow all of its requests, and an
 * entry VM in each zone.
 */
public final class DrainCapacityCheck {
  private static final double MIN_REMAINING_SLOTS_SHARE = 0.5;
  private static final double MAX_UTILIZATION = 0.8;
  private static final double FULL_SHARE = 1;
  private static final double SHARE_TOLERANCE = 1e-9;

  private final Manifest manifest;
  private final DrainSituation situation;
  private final DrainPlan plan;
  private final List<DrainProblem> problems = new ArrayList<>();

  private DrainCapacityCheck(Manifest manifest, DrainSituation situation) {
    this.manifest = manifest;
    this.situation = situation;
    this.plan = DrainPlan.of(manifest, ImmutableSet.of(), situation.alreadyDraining()::contains);
  }

  /** Returns the problems with the drains of {@code manifest}; empty if they may run. */
  public static List<DrainProblem> check(Manifest manifest, DrainSituation situation) {
    DrainCapacityCheck check = new DrainCapacityCheck(manifest, situation);
    manifest.drains().forEach(check::checkTarget);
    check.checkDuplicates();
    manifest.services().forEach(check::checkSlots);
    manifest.services().forEach(check::checkShares);
    situation.entryVms().forEach(check::checkEntryVms);
    return ImmutableList.copyOf(check.problems);
  }

  private void checkTarget(Drain drain) {
    switch (drain.target()) {
      case DrainTarget.OfEndpoint(EndpointId endpoint) -> {
        if (allEndpoints().noneMatch(known -> known.id().equals(endpoint))) {
          problems.add(new DrainProblem.UnknownEndpoint(drain.id(), endpoint));
        }
      }
      case DrainTarget.OfZone(ZoneId zone) -> {
        if (manifest.findRegion(zone).isEmpty()) {
          problems.add(new DrainProblem.UnknownZone(drain.id(), zone));
        }
      }
      case DrainTarget.OfEntryVm(VmId vm) -> {
        if (!situation.mayContain(vm)) {
          problems.add(new DrainProblem.UnknownEntryVm(drain.id(), vm));
        }
      }
    }
  }

  private void checkDuplicates() {
    Map<DrainTarget, DrainId> seen = new HashMap<>();
    for (Drain drain : manifest.drains()) {
      DrainId first = seen.putIfAbsent(drain.target(), drain.id());
      if (first != null) {
        problems.add(new DrainProblem.DuplicateTarget(first, drain.id()));
      }
    }
  }

  private void checkSlots(Service service) {
    List<DrainId> drains = drainsOf(service);
    if (drains.isEmpty()) {
      return;
    }
    int slotsLeft = sumSlots(service, this::isRemaining);
    int slotsNeeded = slotsNeeded(service);
    if (slotsLeft < slotsNeeded) {
      problems.add(
          new DrainProblem.TooFewSlotsLeft(service.name(), slotsLeft, slotsNeeded, drains));
    }
  }

  private int slotsNeeded(Service service) {
    double minSlots = MIN_REMAINING_SLOTS_SHARE * sumSlots(service, endpoint -> true);
    double slotsForDemand =
        situation.slotsInUse().getOrDefault(service.name(), 0.0) / MAX_UTILIZATION;
    return Math.max(1, (int) Math.ceil(Math.max(minSlots, slotsForDemand)));
  }

  private void checkShares(Service service) {
    double shareLeft = sumShares(service, this::isRemaining);
    boolean coveredAllBefore = coversAllRequests(sumShares(service, endpoint -> true));
    if (coveredAllBefore && !coversAllRequests(shareLeft) && !drainsOf(service).isEmpty()) {
      problems.add(new DrainProblem.TooSmallShareLeft(service.name(), shareLeft));
    }
  }

  private void checkEntryVms(ZoneId zone, Set<VmId> vms) {
    if (!vms.isEmpty() && plan.entryVms().containsAll(vms)) {
      problems.add(new DrainProblem.NoEntryVmLeft(zone));
    }
  }

  private List<DrainId> drainsOf(Service service) {
    return manifest.drains().stream()
        .filter(
            drain -> service.endpoints().stream().anyMatch(endpoint -> isTarget(drain, endpoint)))
        .map(Drain::id)
        .toList();
  }

  private static boolean isTarget(Drain drain, Endpoint endpoint) {
    return switch (drain.target()) {
      case DrainTarget.OfEndpoint(EndpointId id) -> endpoint.id().equals(id);
      case DrainTarget.OfZone(ZoneId zone) -> endpoint.zone().equals(zone);
      case DrainTarget.OfEntryVm(VmId vm) -> false;
    };
  }

  private boolean isRemaining(Endpoint endpoint) {
    return !plan.isDraining(endpoint.id());
  }

  private static int sumSlots(Service service, Predicate<Endpoint> counted) {
    return service.endpoints().stream().filter(counted).mapToInt(Endpoint::slots).sum();
  }

  private double sumShares(Service service, Predicate<Endpoint> counted) {
    return service.endpoints().stream()
        .filter(counted)
        .map(endpoint -> manifest.findRegion(endpoint.zone()))
        .flatMap(Optional::stream)
        .distinct()
        .mapToDouble(region -> maxShare(service, region))
        .sum();
  }

  private static double maxShare(Service service, RegionId region) {
    return service.placeLimits().stream()
        .filter(limit -> limit.region().equals(region))
        .mapToDouble(PlaceLimit::maxShare)
        .findFirst()
        .orElse(FULL_SHARE);
  }

  private static boolean coversAllRequests(double share) {
    return share >= FULL_SHARE - SHARE_TOLERANCE;
  }

  private Stream<Endpoint> allEndpoints() {
    return manifest.services().stream().flatMap(service -> service.endpoints().stream());
  }
}
