package org.mustardstage.core.overload;

/** Tells a queue that stands from one that a burst filled for a moment. */
final class OverloadDetector {
  private final long overloadAfterNanos;
  private boolean standing;
  private long standingSinceNanos;

  OverloadDetector(long overloadAfterNanos) {
    this.overloadAfterNanos = overloadAfterNanos;
  }

  /** Takes in how long a request that arrives now would wait. */
  void update(long nowNanos, double expectedWaitNanos, double targetWaitNanos) {
    boolean above = expectedWaitNanos > targetWaitNanos;
    if (above && !standing) {
      standingSinceNanos = nowNanos;
    }
    standing = above;
  }

  /** Returns whether the queue has stood for long enough to count as overloaded. */
  boolean isOverloaded(long nowNanos) {
    return standing && nowNanos - standingSinceNanos >= overloadAfterNanos;
  }
}
