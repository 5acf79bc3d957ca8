package org.mustardstage.core.manifest.check;

import java.util.function.Consumer;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.ManifestProblem;

/** One check of the meaning of a manifest. */
@FunctionalInterface
interface ManifestCheck {
  /** Passes every problem found in {@code manifest} to {@code problems}. */
  void check(Manifest manifest, Consumer<ManifestProblem> problems);
}
