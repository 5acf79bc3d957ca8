package org.mustardstage.core.manifest.check;

import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.ManifestProblem;
import org.mustardstage.core.manifest.RegionLink;

/** Requires that at most one link connects a pair of regions. */
final class DistinctLinks implements ManifestCheck {
  @Override
  public void check(Manifest manifest, Consumer<ManifestProblem> problems) {
    Set<ImmutableSet<RegionId>> seen = new HashSet<>();
    for (RegionLink link : manifest.regionLinks()) {
      if (!seen.add(ImmutableSet.of(link.first(), link.second()))) {
        problems.accept(
            new ManifestProblem.DuplicateLink(ManifestPaths.of(link), link.first(), link.second()));
      }
    }
  }
}
