package org.mustardstage.core.manifest.check;

import static com.google.common.collect.ImmutableMap.toImmutableMap;
import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.function.Consumer;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.ManifestProblem;
import org.mustardstage.core.manifest.PlaceLimit;
import org.mustardstage.core.manifest.Service;

/**
 * Requires that the limits of the regions with endpoints of a service allow all of its requests.
 */
final class SufficientShares implements ManifestCheck {
  private static final double SHARE_TOLERANCE = 1e-9;

  @Override
  public void check(Manifest manifest, Consumer<ManifestProblem> problems) {
    manifest.services().forEach(service -> checkService(manifest, service, problems));
  }

  private static void checkService(
      Manifest manifest, Service service, Consumer<ManifestProblem> problems) {
    double totalShare = totalShare(manifest, service);
    if (totalShare < 1 - SHARE_TOLERANCE) {
      problems.accept(
          new ManifestProblem.ShareWithoutPlace(
              ManifestPaths.of(service) + "/placeLimits", service.name(), totalShare));
    }
  }

  private static double totalShare(Manifest manifest, Service service) {
    ImmutableMap<RegionId, Double> shares =
        service.placeLimits().stream()
            .collect(toImmutableMap(PlaceLimit::region, PlaceLimit::maxShare, Math::min));
    return regions(manifest, service).stream()
        .mapToDouble(region -> shares.getOrDefault(region, 1.0))
        .sum();
  }

  private static ImmutableSet<RegionId> regions(Manifest manifest, Service service) {
    return service.endpoints().stream()
        .map(Endpoint::zone)
        .map(manifest::findRegion)
        .flatMap(Optional::stream)
        .collect(toImmutableSet());
  }
}
