package org.mustardstage.core.manifest.check;

import java.util.function.Consumer;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.ManifestProblem;

/** Requires that the drains leave every service at least one endpoint. */
final class RemainingEndpoints implements ManifestCheck {
  @Override
  public void check(Manifest manifest, Consumer<ManifestProblem> problems) {
    DrainedEndpoints drained = DrainedEndpoints.of(manifest);
    manifest.services().stream()
        .filter(service -> service.endpoints().stream().noneMatch(drained::isRemaining))
        .map(
            service ->
                new ManifestProblem.DrainedService(ManifestPaths.of(service), service.name()))
        .forEach(problems);
  }
}
