package org.mustardstage.entry.control;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.mustardstage.core.config.ManifestChangeCheck;
import org.mustardstage.core.drain.DrainCapacityCheck;
import org.mustardstage.core.drain.DrainSituation;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.member.MemberStatus;
import org.mustardstage.core.member.MemberView;
import org.mustardstage.core.shift.MoveConflicts;

/**
 * Checks a valid manifest against the active manifest and the running entry VMs: changes that are
 * not allowed, drains that leave too little capacity, and conflicting moves.
 */
final class ManifestStateCheck {
  private static final String MANIFEST_PATH = "/";
  private static final String DRAINS_PATH = "/drains";
  private static final String MOVES_PATH = "/moves";

  private ManifestStateCheck() {}

  static List<SubmissionResult.ProblemText> check(
      Manifest manifest, Optional<Manifest> activeManifest, MemberView view) {
    Map<ZoneId, Set<VmId>> entryVms = new HashMap<>();
    for (MemberStatus status : view.statuses()) {
      if (status.acceptsCallers()) {
        entryVms
            .computeIfAbsent(status.member().zone(), zone -> new HashSet<>())
            .add(status.member().vm());
      }
    }
    DrainSituation situation = new DrainSituation(ImmutableSet.of(), ImmutableMap.of(), entryVms);
    return Stream.of(
            changeProblems(manifest, activeManifest),
            DrainCapacityCheck.check(manifest, situation).stream()
                .map(problem -> toText(DRAINS_PATH, problem)),
            MoveConflicts.check(manifest).stream().map(problem -> toText(MOVES_PATH, problem)))
        .flatMap(problems -> problems)
        .toList();
  }

  private static Stream<SubmissionResult.ProblemText> changeProblems(
      Manifest manifest, Optional<Manifest> activeManifest) {
    return activeManifest.stream()
        .flatMap(active -> ManifestChangeCheck.check(active, manifest).stream())
        .map(problem -> toText(MANIFEST_PATH, problem));
  }

  private static SubmissionResult.ProblemText toText(String path, Object problem) {
    return new SubmissionResult.ProblemText(
        problem.getClass().getSimpleName(), path, problem.toString());
  }
}
