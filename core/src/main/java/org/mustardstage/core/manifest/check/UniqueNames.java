package org.mustardstage.core.manifest.check;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.ManifestProblem;
import org.mustardstage.core.manifest.NameKind;
import org.mustardstage.core.manifest.Service;

/**
 * Requires that names are unique. Names of endpoints must be unique in the whole manifest, not only
 * in their service.
 */
final class UniqueNames implements ManifestCheck {
  @Override
  public void check(Manifest manifest, Consumer<ManifestProblem> problems) {
    checkNames(
        NameKind.ZONE, manifest.zones(), zone -> zone.id().value(), ManifestPaths::of, problems);
    checkNames(
        NameKind.SERVICE,
        manifest.services(),
        service -> service.name().value(),
        ManifestPaths::of,
        problems);
    manifest.services().forEach(service -> checkService(service, problems));
    checkEndpoints(manifest, problems);
    checkNames(
        NameKind.MOVE, manifest.moves(), move -> move.id().value(), ManifestPaths::of, problems);
    checkNames(
        NameKind.DRAIN,
        manifest.drains(),
        drain -> drain.id().value(),
        ManifestPaths::of,
        problems);
  }

  private static void checkService(Service service, Consumer<ManifestProblem> problems) {
    checkNames(
        NameKind.CALL,
        service.calls(),
        call -> call.name().value(),
        call -> ManifestPaths.of(service, call),
        problems);
    checkNames(
        NameKind.PLACE_LIMIT,
        service.placeLimits(),
        limit -> limit.region().value(),
        limit -> ManifestPaths.of(service, limit),
        problems);
  }

  private static void checkEndpoints(Manifest manifest, Consumer<ManifestProblem> problems) {
    Set<String> seen = new HashSet<>();
    for (Service service : manifest.services()) {
      checkNames(
          NameKind.ENDPOINT,
          service.endpoints(),
          endpoint -> endpoint.id().value(),
          endpoint -> ManifestPaths.of(service, endpoint),
          seen,
          problems);
    }
  }

  private static <T> void checkNames(
      NameKind kind,
      List<T> parts,
      Function<T, String> name,
      Function<T, String> path,
      Consumer<ManifestProblem> problems) {
    checkNames(kind, parts, name, path, new HashSet<>(), problems);
  }

  private static <T> void checkNames(
      NameKind kind,
      List<T> parts,
      Function<T, String> name,
      Function<T, String> path,
      Set<String> seen,
      Consumer<ManifestProblem> problems) {
    for (T part : parts) {
      if (!seen.add(name.apply(part))) {
        problems.accept(
            new ManifestProblem.DuplicateName(path.apply(part), kind, name.apply(part)));
      }
    }
  }
}
