package org.mustardstage.core.manifest.check;

import java.util.List;
import java.util.function.Consumer;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.ManifestProblem;
import org.mustardstage.core.manifest.PlannedMove;

/**
 * Requires that a region that traffic of a service is moved away from is part of no other move of
 * the service.
 */
final class NonConflictingMoves implements ManifestCheck {
  @Override
  public void check(Manifest manifest, Consumer<ManifestProblem> problems) {
    List<PlannedMove> moves = manifest.moves();
    for (int later = 1; later < moves.size(); later++) {
      for (int earlier = 0; earlier < later; earlier++) {
        checkPair(moves.get(later), moves.get(earlier), problems);
      }
    }
  }

  private static void checkPair(
      PlannedMove move, PlannedMove other, Consumer<ManifestProblem> problems) {
    if (move.service().equals(other.service()) && isConflicting(move, other)) {
      problems.accept(
          new ManifestProblem.ConflictingMoves(ManifestPaths.of(move), move.id(), other.id()));
    }
  }

  private static boolean isConflicting(PlannedMove move, PlannedMove other) {
    return move.from().equals(other.from())
        || move.from().equals(other.to())
        || move.to().equals(other.from());
  }
}
