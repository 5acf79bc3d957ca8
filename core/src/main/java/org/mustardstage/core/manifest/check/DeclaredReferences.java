package org.mustardstage.core.manifest.check;

import java.util.function.Consumer;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.DeclaredNames;
import org.mustardstage.core.manifest.Drain;
import org.mustardstage.core.manifest.DrainTarget;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.ManifestProblem;
import org.mustardstage.core.manifest.PlannedMove;
import org.mustardstage.core.manifest.RegionLink;
import org.mustardstage.core.manifest.Service;

/** Requires that every name to which a manifest refers is declared. */
final class DeclaredReferences implements ManifestCheck {
  private final DeclaredNames declared;

  DeclaredReferences(DeclaredNames declared) {
    this.declared = declared;
  }

  @Override
  public void check(Manifest manifest, Consumer<ManifestProblem> problems) {
    manifest.regionLinks().forEach(link -> checkLink(link, problems));
    manifest.services().forEach(service -> checkService(service, problems));
    manifest
        .callerBlocks()
        .forEach(
            block -> checkRegion(ManifestPaths.of(block) + "/region", block.region(), problems));
    manifest.moves().forEach(move -> checkMove(move, problems));
    manifest.drains().forEach(drain -> checkDrain(drain, problems));
  }

  private void checkLink(RegionLink link, Consumer<ManifestProblem> problems) {
    checkRegion(ManifestPaths.of(link) + "/first", link.first(), problems);
    checkRegion(ManifestPaths.of(link) + "/second", link.second(), problems);
  }

  private void checkService(Service service, Consumer<ManifestProblem> problems) {
    service
        .endpoints()
        .forEach(
            endpoint ->
                checkZone(
                    ManifestPaths.of(service, endpoint) + "/zone", endpoint.zone(), problems));
    service
        .placeLimits()
        .forEach(
            limit ->
                checkRegion(
                    ManifestPaths.of(service, limit) + "/region", limit.region(), problems));
  }

  private void checkMove(PlannedMove move, Consumer<ManifestProblem> problems) {
    checkServiceName(ManifestPaths.of(move) + "/service", move.service(), problems);
    checkRegion(ManifestPaths.of(move) + "/from", move.from(), problems);
    checkRegion(ManifestPaths.of(move) + "/to", move.to(), problems);
  }

  private void checkDrain(Drain drain, Consumer<ManifestProblem> problems) {
    switch (drain.target()) {
      case DrainTarget.OfEndpoint(EndpointId endpoint) ->
          checkEndpoint(ManifestPaths.of(drain) + "/endpoint", endpoint, problems);
      case DrainTarget.OfZone(ZoneId zone) ->
          checkZone(ManifestPaths.of(drain) + "/zone", zone, problems);
      // The manifest does not declare entry VMs, so their names can't be checked here.
      case DrainTarget.OfEntryVm unchecked -> {}
    }
  }

  private void checkZone(String path, ZoneId zone, Consumer<ManifestProblem> problems) {
    if (!declared.zones().contains(zone)) {
      problems.accept(new ManifestProblem.UnknownZone(path, zone));
    }
  }

  private void checkRegion(String path, RegionId region, Consumer<ManifestProblem> problems) {
    if (!declared.regions().contains(region)) {
      problems.accept(new ManifestProblem.UnknownRegion(path, region));
    }
  }

  private void checkServiceName(
      String path, ServiceName service, Consumer<ManifestProblem> problems) {
    if (!declared.services().contains(service)) {
      problems.accept(new ManifestProblem.UnknownService(path, service));
    }
  }

  private void checkEndpoint(String path, EndpointId endpoint, Consumer<ManifestProblem> problems) {
    if (!declared.endpoints().contains(endpoint)) {
      problems.accept(new ManifestProblem.UnknownEndpoint(path, endpoint));
    }
  }
}
