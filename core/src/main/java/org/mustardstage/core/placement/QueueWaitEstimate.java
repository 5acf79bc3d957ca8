package org.mustardstage.core.placement;

/**
 * How long requests have waited for a slot lately. Where several schedulers share endpoints, this
 * shows the others' queues, which none of them sees.
 */
final class QueueWaitEstimate {
  /** The weight of one wait; about the last five decide. */
  private static final double SMOOTHING_FACTOR = 0.2;

  /** Waits say little about the load a second later. */
  private static final double HALF_LIFE_NANOS = 300e6;

  private double meanNanos;
  private long updatedNanos;

  /** Takes in how long a request waited. */
  void addSample(long nowNanos, long waitNanos) {
    double before = estimateNanos(nowNanos);
    meanNanos = before + SMOOTHING_FACTOR * (waitNanos - before);
    updatedNanos = nowNanos;
  }

  /** Returns how long a request that has to wait now is expected to. */
  double estimateNanos(long nowNanos) {
    return meanNanos * Math.exp(-Math.log(2) * (nowNanos - updatedNanos) / HALF_LIFE_NANOS);
  }
}
