package org.mustardstage.entry.control;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mustardstage.core.drain.DrainCapacityCheck;
import org.mustardstage.core.drain.DrainProblem;
import org.mustardstage.core.drain.DrainSituation;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.member.MemberStatus;
import org.mustardstage.core.member.MemberView;

/** Finds what the state of the system forbids of a manifest that is valid by itself. */
final class StateCheck {
  private static final String DRAINS_PATH = "/drains";

  private StateCheck() {}

  static List<SubmissionEnd.ProblemText> check(Manifest manifest, MemberView view) {
    Map<ZoneId, Set<VmId>> entryVms = new HashMap<>();
    for (MemberStatus status : view.statuses()) {
      if (status.takesCallers()) {
        entryVms
            .computeIfAbsent(status.member().zone(), zone -> new HashSet<>())
            .add(status.member().vm());
      }
    }
    DrainSituation situation = new DrainSituation(ImmutableSet.of(), ImmutableMap.of(), entryVms);
    return DrainCapacityCheck.check(manifest, situation).stream().map(StateCheck::toText).toList();
  }

  private static SubmissionEnd.ProblemText toText(DrainProblem problem) {
    return new SubmissionEnd.ProblemText(
        problem.getClass().getSimpleName(), DRAINS_PATH, problem.toString());
  }
}
