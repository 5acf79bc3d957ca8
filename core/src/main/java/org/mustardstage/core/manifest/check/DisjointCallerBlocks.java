package org.mustardstage.core.manifest.check;

import static com.google.common.collect.ImmutableList.sortedCopyOf;

import java.util.Comparator;
import java.util.function.Consumer;
import org.mustardstage.core.manifest.CallerBlock;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.ManifestProblem;

/** Requires that each caller address lies in at most one block. */
final class DisjointCallerBlocks implements ManifestCheck {
  private static final Comparator<CallerBlock> BY_FIRST_ADDRESS =
      Comparator.comparingLong(CallerBlock::firstAddress)
          .thenComparingInt(CallerBlock::prefixLengthBits);

  @Override
  public void check(Manifest manifest, Consumer<ManifestProblem> problems) {
    CallerBlock widest = null;
    for (CallerBlock block : sortedCopyOf(BY_FIRST_ADDRESS, manifest.callerBlocks())) {
      if (widest != null && block.firstAddress() <= widest.lastAddress()) {
        problems.accept(
            new ManifestProblem.OverlappingCallerBlocks(ManifestPaths.of(block), block, widest));
      }
      if (widest == null || block.lastAddress() > widest.lastAddress()) {
        widest = block;
      }
    }
  }
}
