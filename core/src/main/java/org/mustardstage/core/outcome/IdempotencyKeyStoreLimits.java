package org.mustardstage.core.outcome;

import com.google.common.base.Preconditions;

/**
 * The bounds of a {@link IdempotencyKeyStore}.
 *
 * @param maxEntries the most keys remembered
 * @param maxBytes the most bytes of ended requests remembered
 * @param maxAnswerBytes the largest answer that is kept
 * @param maxAgeEpochs how long after its issue a key is remembered once its request has ended
 */
public record IdempotencyKeyStoreLimits(
    int maxEntries, long maxBytes, long maxResponseBytes, long maxAgeEpochs) {
  /** Checks that the bounds are positive. */
  public IdempotencyKeyStoreLimits {
    Preconditions.checkArgument(maxEntries > 0, "maxEntries must be positive");
    Preconditions.checkArgument(maxBytes > 0, "maxBytes must be positive");
    Preconditions.checkArgument(maxResponseBytes >= 0, "maxAnswerBytes must not be negative");
    Preconditions.checkArgument(maxAgeEpochs > 0, "maxAgeEpochs must be positive");
  }

  /** Returns whether {@code end} is small enough to be remembered whole. */
  boolean fits(KeyedOutcome end) {
    return !(end instanceof KeyedOutcome.Stored kept)
        || kept.response().sizeBytes() <= maxResponseBytes;
  }
}
