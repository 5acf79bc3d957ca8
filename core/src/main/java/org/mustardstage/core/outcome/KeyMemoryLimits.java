package org.mustardstage.core.outcome;

import com.google.common.base.Preconditions;

/**
 * The bounds of a {@link KeyMemory}.
 *
 * @param maxEntries the most keys remembered
 * @param maxBytes the most bytes of ended requests remembered
 * @param maxAnswerBytes the largest answer that is kept
 * @param maxAgeEpochs how long after its issue a key is remembered once its request has ended
 */
public record KeyMemoryLimits(
    int maxEntries, long maxBytes, long maxAnswerBytes, long maxAgeEpochs) {
  /** Checks that the bounds are positive. */
  public KeyMemoryLimits {
    Preconditions.checkArgument(maxEntries > 0, "maxEntries must be positive");
    Preconditions.checkArgument(maxBytes > 0, "maxBytes must be positive");
    Preconditions.checkArgument(maxAnswerBytes >= 0, "maxAnswerBytes must not be negative");
    Preconditions.checkArgument(maxAgeEpochs > 0, "maxAgeEpochs must be positive");
  }

  /** Returns whether {@code end} is small enough to be remembered whole. */
  boolean keeps(KeyedEnd end) {
    return !(end instanceof KeyedEnd.Kept kept) || kept.answer().sizeBytes() <= maxAnswerBytes;
  }
}
