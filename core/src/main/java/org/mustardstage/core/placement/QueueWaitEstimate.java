package org.mustardstage.core.placement;

/**
 * Estimates how long requests wait for a slot, from recent waits. Where several schedulers share
 * endpoints, the estimate reflects the others' queues, which a scheduler can't see.
 */
final class QueueWaitEstimate {
  /** Smoothing factor; about the last five waits determine the average. */
  private static final double SMOOTHING_FACTOR = 0.2;

  /** Half-life of the estimate, as a wait says little about the load a second later. */
  private static final double HALF_LIFE_NANOS = 300e6;

  private double meanNanos;
  private long updatedNanos;

  /** Records how long a request waited. */
  void addSample(long nowNanos, long waitNanos) {
    double previousNanos = estimateNanos(nowNanos);
    meanNanos = previousNanos + SMOOTHING_FACTOR * (waitNanos - previousNanos);
    updatedNanos = nowNanos;
  }

  /** Returns the expected wait of a request that is queued now. */
  double estimateNanos(long nowNanos) {
    return meanNanos * Math.exp(-Math.log(2) * (nowNanos - updatedNanos) / HALF_LIFE_NANOS);
  }
}
