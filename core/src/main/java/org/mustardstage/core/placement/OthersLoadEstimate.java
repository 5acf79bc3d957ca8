package org.mustardstage.core.placement;

/**
 * Estimates how many requests of other VMs an endpoint runs or queues, from its load reports.
 *
 * <p>Handles many VMs that share endpoints, where each VM hears from an endpoint about once a
 * second but requests take a fraction of that: an old report says nothing about the requests that
 * it counted, but a lot about how many there usually are. The estimate therefore moves from the
 * last report to the recent mean, instead of to none, so that VMs don't all send to an endpoint
 * whose queue they have not heard of for a while. Without reports the mean fades too, so that the
 * endpoint is tried again.
 */
final class OthersLoadEstimate {
  /** Smoothing factor of the present load, for each report. */
  private static final double SMOOTHING_FACTOR = 0.5;

  /** Half-life of the deviation from the mean since the last report, in mean service times. */
  private static final double HALF_LIFE_SERVICE_TIMES = 1.5;

  private static final double MIN_HALF_LIFE_NANOS = 100e6;

  /** Time over which the mean is taken; a VM hears from each endpoint about once a second. */
  private static final double MEAN_NANOS = 2e9;

  /** Half-life of the mean since the last report. */
  private static final double MEAN_HALF_LIFE_NANOS = 2e9;

  private double present;
  private double mean;
  private long reportedNanos;
  private double halfLifeNanos = MIN_HALF_LIFE_NANOS;

  /**
   * Records a report.
   *
   * @param others the number of running and queued requests of other VMs
   * @param serviceTimeNanos the mean service time of a request
   */
  void addReport(long nowNanos, double others, double serviceTimeNanos) {
    double ageNanos = nowNanos - reportedNanos;
    double before = estimate(nowNanos);
    present = before + SMOOTHING_FACTOR * (others - before);
    double meanBefore = fadedMean(ageNanos);
    mean = meanBefore + (1 - Math.exp(-ageNanos / MEAN_NANOS)) * (others - meanBefore);
    reportedNanos = nowNanos;
    halfLifeNanos = Math.max(MIN_HALF_LIFE_NANOS, HALF_LIFE_SERVICE_TIMES * serviceTimeNanos);
  }

  /** Returns the expected number of requests now. */
  double estimate(long nowNanos) {
    double ageNanos = nowNanos - reportedNanos;
    return fadedMean(ageNanos) + (present - mean) * Math.pow(2, -ageNanos / halfLifeNanos);
  }

  private double fadedMean(double ageNanos) {
    return mean * Math.pow(2, -ageNanos / MEAN_HALF_LIFE_NANOS);
  }
}
