package org.mustardstage.core.placement;

/**
 * Estimates how many requests of other VMs an endpoint runs or queues, from its load reports.
 *
 * <p>Handles many VMs that share endpoints: an old report says little about the load now, so the
 * estimate fades to none, and the endpoint is tried again.
 */
final class OthersLoadEstimate {
  /** Smoothing factor of the load, for each report. */
  private static final double SMOOTHING_FACTOR = 0.5;

  /** Half-life of the estimate since the last report, in mean service times. */
  private static final double HALF_LIFE_SERVICE_TIMES = 1.5;

  private static final double MIN_HALF_LIFE_NANOS = 100e6;

  private double present;
  private long reportedNanos;
  private double halfLifeNanos = MIN_HALF_LIFE_NANOS;

  /**
   * Records a report.
   *
   * @param others the number of running and queued requests of other VMs
   * @param serviceTimeNanos the mean service time of a request
   */
  void addReport(long nowNanos, double others, double serviceTimeNanos) {
    double before = estimate(nowNanos);
    present = before + SMOOTHING_FACTOR * (others - before);
    reportedNanos = nowNanos;
    halfLifeNanos = Math.max(MIN_HALF_LIFE_NANOS, HALF_LIFE_SERVICE_TIMES * serviceTimeNanos);
  }

  /** Returns the expected number of requests now. */
  double estimate(long nowNanos) {
    return present * Math.pow(2, -(nowNanos - reportedNanos) / halfLifeNanos);
  }
}
