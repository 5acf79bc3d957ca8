package org.mustardstage.core.manifest.check;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.mustardstage.core.manifest.DeclaredNames;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.ManifestProblem;

/** Checks the meaning of a manifest and reports all problems at once. */
public final class ManifestChecker {
  private static final ImmutableList<ManifestCheck> CHECKS_OF_PARTS =
      ImmutableList.of(
          new UniqueNames(),
          new DistinctAddresses(),
          new DisjointCallerBlocks(),
          new DistinctLinks(),
          new NonConflictingMoves(),
          new MatchingPriorities(),
          new ReachableCalls());

  private static final ImmutableList<ManifestCheck> CHECKS_OF_WHOLE =
      ImmutableList.of(new RemainingEndpoints(), new FeasibleMoves(), new SufficientShares());

  private ManifestChecker() {}

  /** Returns the problems of a complete manifest, which may be activated if there are none. */
  public static ImmutableList<ManifestProblem> check(Manifest manifest) {
    ImmutableList.Builder<ManifestProblem> problems = ImmutableList.builder();
    problems.addAll(checkParts(manifest, DeclaredNames.of(manifest)));
    runAll(CHECKS_OF_WHOLE, manifest, problems);
    return problems.build();
  }

  /**
   * Returns the problems of those parts of a manifest that could be read. A name counts as declared
   * if {@code declared} contains it, even if the part that declares it could not be read.
   */
  public static ImmutableList<ManifestProblem> checkParts(Manifest parts, DeclaredNames declared) {
    ImmutableList.Builder<ManifestProblem> problems = ImmutableList.builder();
    new DeclaredReferences(declared).check(parts, problems::add);
    runAll(CHECKS_OF_PARTS, parts, problems);
    return problems.build();
  }

  private static void runAll(
      List<ManifestCheck> checks,
      Manifest manifest,
      ImmutableList.Builder<ManifestProblem> problems) {
    checks.forEach(check -> check.check(manifest, problems::add));
  }
}
