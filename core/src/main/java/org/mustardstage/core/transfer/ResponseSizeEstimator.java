package org.mustardstage.core.transfer;

import com.google.common.base.Preconditions;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates how large the next response of a routing rule can be, from the responses so far.
 *
 * <p>Handles responses whose size is known only once they arrive, when it is too late to reject the
 * request. A larger response counts at once; smaller ones lower the estimate slowly, as an estimate
 * that is too small costs a stalled endpoint, and one that is too large only some room.
 */
public final class ResponseSizeEstimator {
  private static final double WEIGHT_OF_SMALLER = 0.05;
  private static final int MAX_RULES = 1_000;

  private final long initialBytes;

  /** The estimates by rule; the rule that was used least recently is forgotten first. */
  private final Map<String, Double> bytesByRule =
      new LinkedHashMap<>(16, 0.75f, /* accessOrder= */ true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
          return size() > MAX_RULES;
        }
      };

  /** Creates an estimator that returns {@code initialBytes} for rules without a response so far. */
  public ResponseSizeEstimator(long initialBytes) {
    Preconditions.checkArgument(
        initialBytes > 0, "initialBytes must be positive: %s", initialBytes);
    this.initialBytes = initialBytes;
  }

  /** Returns the estimate for the next response of a rule. */
  public long expectedBytes(String rule) {
    return (long) Math.ceil(bytesByRule.getOrDefault(rule, (double) initialBytes));
  }

  /** Records the size of a response that arrived whole. */
  public void record(String rule, long bytes) {
    bytesByRule.merge(
        rule,
        (double) bytes,
        (before, now) -> now >= before ? now : before + WEIGHT_OF_SMALLER * (now - before));
  }
}
