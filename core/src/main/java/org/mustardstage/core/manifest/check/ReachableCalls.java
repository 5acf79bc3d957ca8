package org.mustardstage.core.manifest.check;

import java.util.List;
import java.util.function.Consumer;
import org.mustardstage.core.manifest.Call;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.ManifestProblem;
import org.mustardstage.core.manifest.Service;

/** Requires that each call of a service can match a request. */
final class ReachableCalls implements ManifestCheck {
  @Override
  public void check(Manifest manifest, Consumer<ManifestProblem> problems) {
    manifest.services().forEach(service -> checkService(service, problems));
  }

  private static void checkService(Service service, Consumer<ManifestProblem> problems) {
    List<Call> calls = service.calls();
    for (int i = 0; i < calls.size(); i++) {
      Call call = calls.get(i);
      calls.subList(0, i).stream()
          .filter(earlier -> earlier.matches(call.method(), call.pathPrefix()))
          .findFirst()
          .ifPresent(
              earlier ->
                  problems.accept(
                      new ManifestProblem.ShadowedCall(
                          ManifestPaths.of(service, call),
                          call.pathPrefix(),
                          earlier.pathPrefix())));
    }
  }
}
