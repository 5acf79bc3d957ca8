package org.mustardstage.core.manifest.check;

import java.util.function.Consumer;
import org.mustardstage.core.manifest.Call;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.ManifestProblem;
import org.mustardstage.core.manifest.Priority;
import org.mustardstage.core.manifest.Service;

/** Requires that exactly the non-idempotent calls have the priority for non-idempotent work. */
final class MatchingPriorities implements ManifestCheck {
  @Override
  public void check(Manifest manifest, Consumer<ManifestProblem> problems) {
    for (Service service : manifest.services()) {
      service.calls().stream()
          .filter(call -> !matches(call))
          .map(
              call ->
                  new ManifestProblem.MismatchedPriority(
                      ManifestPaths.of(service, call) + "/priority",
                      call.priority(),
                      call.idempotent()))
          .forEach(problems);
    }
  }

  private static boolean matches(Call call) {
    return call.idempotent() != (call.priority() == Priority.NON_IDEMPOTENT);
  }
}
