package org.mustardstage.core.outcome;

import com.google.common.base.Preconditions;

/**
 * The limits of an {@link IdempotencyKeyStore}.
 *
 * @param maxEntries the largest number of stored keys
 * @param maxBytes the largest total size of stored outcomes
 * @param maxResponseBytes the size of the largest response that is stored
 * @param maxAgeEpochs how many epochs after its issue a key is evicted if its request has ended
 */
public record IdempotencyKeyStoreLimits(
    int maxEntries, long maxBytes, long maxResponseBytes, long maxAgeEpochs) {
  /** Checks that the limits are in range. */
  public IdempotencyKeyStoreLimits {
    Preconditions.checkArgument(maxEntries > 0, "maxEntries must be positive");
    Preconditions.checkArgument(maxBytes > 0, "maxBytes must be positive");
    Preconditions.checkArgument(maxResponseBytes >= 0, "maxResponseBytes must not be negative");
    Preconditions.checkArgument(maxAgeEpochs > 0, "maxAgeEpochs must be positive");
  }

  /** Returns whether {@code outcome} is small enough to be stored with its response. */
  boolean fits(KeyedOutcome outcome) {
    return !(outcome instanceof KeyedOutcome.Stored stored)
        || stored.response().sizeBytes() <= maxResponseBytes;
  }
}
