package org.mustardstage.core.manifest.check;

import java.util.Optional;
import java.util.function.Consumer;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.ManifestProblem;
import org.mustardstage.core.manifest.PlannedMove;
import org.mustardstage.core.manifest.Service;

/**
 * Requires that the receiving region of a move has remaining endpoints and a link to the other
 * region.
 */
final class FeasibleMoves implements ManifestCheck {
  @Override
  public void check(Manifest manifest, Consumer<ManifestProblem> problems) {
    manifest.moves().forEach(move -> checkMove(manifest, move, problems));
  }

  private static void checkMove(
      Manifest manifest, PlannedMove move, Consumer<ManifestProblem> problems) {
    Optional<Service> service = manifest.findService(move.service());
    if (service.isPresent() && !hasEndpoint(manifest, service.get(), move.to())) {
      problems.accept(
          new ManifestProblem.MoveWithoutPlace(
              ManifestPaths.of(move) + "/to", move.id(), move.to(), move.service()));
    }
    if (manifest.regionLinks().stream().noneMatch(link -> link.connects(move.from(), move.to()))) {
      problems.accept(
          new ManifestProblem.MoveWithoutLink(
              ManifestPaths.of(move), move.id(), move.from(), move.to()));
    }
  }

  private static boolean hasEndpoint(Manifest manifest, Service service, RegionId region) {
    DrainedEndpoints drained = DrainedEndpoints.of(manifest);
    return service.endpoints().stream()
        .filter(drained::isRemaining)
        .map(Endpoint::zone)
        .anyMatch(zone -> manifest.findRegion(zone).filter(region::equals).isPresent());
  }
}
