package org.mustardstage.core.placement;

/**
 * How long requests have waited for a slot lately. Where several schedulers share endpoints, this
 * shows the others' queues, which none of them sees.
 */
final class RecentWaits {
  /** The weight of one wait; about the last five decide. */
  private static final double SAMPLE_WEIGHT = 0.2;

  /** Waits say little about the load a second later. */
  private static final double HALF_LIFE_NANOS = 300e6;

  private double meanNanos;
  private long observedNanos;

  /** Takes in how long a request waited. */
  void observe(long nowNanos, long waitNanos) {
    double before = nanos(nowNanos);
    meanNanos = before + SAMPLE_WEIGHT * (waitNanos - before);
    observedNanos = nowNanos;
  }

  /** Returns how long a request that has to wait now is expected to. */
  double nanos(long nowNanos) {
    return meanNanos * Math.exp(-Math.log(2) * (nowNanos - observedNanos) / HALF_LIFE_NANOS);
  }
}
