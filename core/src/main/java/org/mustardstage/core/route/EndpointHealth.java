package org.mustardstage.core.route;

/**
 * The health and load of an endpoint as one entry VM knows them, from its load reports and from the
 * service times and failures of the requests sent to it. Each loses weight with age and gives way
 * to a default: {@link #ASSUMED_UTILIZATION} of the slots that the manifest declares, and the
 * median service time.
 */
public final class EndpointHealth {
  private static final double REPORT_HALF_LIFE_NANOS = 1e9;
  private static final double SERVICE_TIME_HALF_LIFE_NANOS = 10e9;
  private static final double SERVICE_TIME_SMOOTHING_FACTOR = 1.0 / 16;
  private static final double BUSY_DECAY_TIME_NANOS = 2e9;
  private static final double SAMPLE_HALF_LIFE_NANOS = 5e9;

  /**
   * The utilization of the declared slots that is assumed while no load report is fresh. It leaves
   * a margin to the declared capacity.
   */
  public static final double ASSUMED_UTILIZATION = 0.2;

  private boolean hasReport;
  private double reportedUtilization;
  private long lastReportNanos;

  private boolean hasServiceTime;
  private double serviceNanos;
  private long lastServiceTimeNanos;

  private double samples;
  private double failures;
  private long lastSampleNanos;

  private double busyNanos;
  private long busyUpdatedNanos;

  /** Replaces the reported utilization of the endpoint, limited to the range from 0 to 1. */
  public void recordLoadReport(long nowNanos, double newUtilization) {
    hasReport = true;
    reportedUtilization = Math.clamp(newUtilization, 0, 1);
    lastReportNanos = nowNanos;
  }

  /** Records a success and its service time, which excludes the network round trip. */
  public void recordResponse(long nowNanos, long sampleNanos) {
    addSample(nowNanos, false);
    addBusyTime(nowNanos, sampleNanos);
    serviceNanos =
        hasServiceTime
            ? serviceNanos + SERVICE_TIME_SMOOTHING_FACTOR * (sampleNanos - serviceNanos)
            : sampleNanos;
    hasServiceTime = true;
    lastServiceTimeNanos = nowNanos;
  }

  /** Records a failure: an error, a timeout, or a failed connection. */
  public void recordFailure(long nowNanos, long durationNanos) {
    addSample(nowNanos, true);
    addBusyTime(nowNanos, durationNanos);
  }

  /** Returns the estimated share of its slots in use; the older the report, the less it counts. */
  public double utilization(long nowNanos) {
    double weight =
        hasReport ? ExponentialDecay.weight(nowNanos - lastReportNanos, REPORT_HALF_LIFE_NANOS) : 0;
    return weight * reportedUtilization + (1 - weight) * ASSUMED_UTILIZATION;
  }

  /** Returns whether a load report is known that has lost at most half of its weight. */
  public boolean hasFreshReport(long nowNanos) {
    return hasReport
        && ExponentialDecay.weight(nowNanos - lastReportNanos, REPORT_HALF_LIFE_NANOS) >= 0.5;
  }

  /** Returns the expected service time; with age it approaches {@code medianNanos}. */
  public double serviceNanos(long nowNanos, double medianNanos) {
    double weight =
        hasServiceTime
            ? ExponentialDecay.weight(nowNanos - lastServiceTimeNanos, SERVICE_TIME_HALF_LIFE_NANOS)
            : 0;
    return weight * serviceNanos + (1 - weight) * medianNanos;
  }

  /** Returns whether a service time is known that has lost at most half of its weight. */
  public boolean hasFreshServiceTime(long nowNanos) {
    return hasServiceTime
        && ExponentialDecay.weight(nowNanos - lastServiceTimeNanos, SERVICE_TIME_HALF_LIFE_NANOS)
            >= 0.5;
  }

  /** Returns the number of recent responses and failures; older ones count less. */
  public double samples(long nowNanos) {
    return samples * ExponentialDecay.weight(nowNanos - lastSampleNanos, SAMPLE_HALF_LIFE_NANOS);
  }

  /** Returns the share of recent requests that failed. */
  public double failureShare() {
    return samples == 0 ? 0 : failures / samples;
  }

  /** Returns how many of its slots requests of this entry VM recently used, on average. */
  public double ownSlotsInUse(long nowNanos) {
    return busyNanos
        * Math.exp(-(nowNanos - busyUpdatedNanos) / BUSY_DECAY_TIME_NANOS)
        / BUSY_DECAY_TIME_NANOS;
  }

  /** Discards service times and failures, so that earlier ones can't eject the endpoint again. */
  public void resetSamples() {
    hasServiceTime = false;
    samples = 0;
    failures = 0;
  }

  private void addSample(long nowNanos, boolean failed) {
    double decay = ExponentialDecay.weight(nowNanos - lastSampleNanos, SAMPLE_HALF_LIFE_NANOS);
    samples = samples * decay + 1;
    failures = failures * decay + (failed ? 1 : 0);
    lastSampleNanos = nowNanos;
  }

  private void addBusyTime(long nowNanos, long durationNanos) {
    double decay = Math.exp(-(nowNanos - busyUpdatedNanos) / BUSY_DECAY_TIME_NANOS);
    busyNanos = busyNanos * decay + durationNanos;
    busyUpdatedNanos = nowNanos;
  }
}
