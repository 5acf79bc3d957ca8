package org.mustardstage.core.overload;

/**
 * Detects a standing queue: one whose expected wait stays above the target for a time. A burst that
 * drains within that time does not count as overload.
 */
final class OverloadDetector {
  private final long overloadAfterNanos;
  private boolean standing;
  private long standingSinceNanos;

  OverloadDetector(long overloadAfterNanos) {
    this.overloadAfterNanos = overloadAfterNanos;
  }

  /** Compares the wait expected for a request that arrives now with the target. */
  void update(long nowNanos, double expectedWaitNanos, double targetWaitNanos) {
    boolean aboveTarget = expectedWaitNanos > targetWaitNanos;
    if (aboveTarget && !standing) {
      standingSinceNanos = nowNanos;
    }
    standing = aboveTarget;
  }

  /** Returns whether the wait has been above the target for long enough to count as overload. */
  boolean isOverloaded(long nowNanos) {
    return standing && nowNanos - standingSinceNanos >= overloadAfterNanos;
  }
}
