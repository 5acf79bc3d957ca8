package org.mustardstage.core.manifest.check;

import java.util.function.Consumer;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.ManifestProblem;

/** One thing that must be right about a manifest. */
@FunctionalInterface
interface ManifestCheck {
  /** Hands every problem that it finds in {@code manifest} to {@code problems}. */
  void check(Manifest manifest, Consumer<ManifestProblem> problems);
}
