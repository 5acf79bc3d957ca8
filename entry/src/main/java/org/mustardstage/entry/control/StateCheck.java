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

/** Finds what the state of the system forbids of a manifest that is valid by itself. */
final class StateCheck {
  private static final String WHOLE_PATH = "/";
  private static final String DRAINS_PATH = "/drains";
  private static final String MOVES_PATH = "/moves";

  private StateCheck() {}

  static List<SubmissionEnd.ProblemText> check(
      Manifest manifest, Optional<Manifest> inForce, MemberView view) {
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
            changeProblems(manifest, inForce),
            DrainCapacityCheck.check(manifest, situation).stream()
                .map(problem -> toText(DRAINS_PATH, problem)),
            MoveConflicts.check(manifest).stream().map(problem -> toText(MOVES_PATH, problem)))
        .flatMap(problems -> problems)
        .toList();
  }

  private static Stream<SubmissionEnd.ProblemText> changeProblems(
      Manifest manifest, Optional<Manifest> inForce) {
    return inForce.stream()
        .flatMap(before -> ManifestChangeCheck.check(before, manifest).stream())
        .map(problem -> toText(WHOLE_PATH, problem));
  }

  private static SubmissionEnd.ProblemText toText(String path, Object problem) {
    return new SubmissionEnd.ProblemText(
        problem.getClass().getSimpleName(), path, problem.toString());
  }
}
