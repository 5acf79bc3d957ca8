package org.mustardstage.core.route;

/**
 * What one entry VM knows of an endpoint: its load reports, the service times seen and the failures
 * seen. Each loses weight with age, until what the manifest declares, less a margin, decides.
 */
public final class EndpointHealth {
  private static final double REPORT_HALF_LIFE_NANOS = 1e9;
  private static final double SERVICE_TIME_HALF_LIFE_NANOS = 10e9;
  private static final double SERVICE_TIME_SMOOTHING_FACTOR = 1.0 / 16;
  private static final double BUSY_DECAY_TIME_NANOS = 2e9;
  private static final double SAMPLE_HALF_LIFE_NANOS = 5e9;

  /** The share of the declared slots that counts as used while nothing is reported. */
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

  /** Takes in a load report: the share of its slots that the endpoint says it uses. */
  public void recordLoadReport(long nowNanos, double usedShare) {
    hasReport = true;
    reportedUtilization = Math.clamp(usedShare, 0, 1);
    lastReportNanos = nowNanos;
  }

  /** Takes in an answer and its service time, without the network. */
  public void recordResponse(long nowNanos, long answerServiceNanos) {
    addSample(nowNanos, false);
    addBusyTime(nowNanos, answerServiceNanos);
    serviceNanos =
        hasServiceTime
            ? serviceNanos + SERVICE_TIME_SMOOTHING_FACTOR * (answerServiceNanos - serviceNanos)
            : answerServiceNanos;
    hasServiceTime = true;
    lastServiceTimeNanos = nowNanos;
  }

  /** Takes in a request that failed: an error, no answer in time, or no connection. */
  public void recordFailure(long nowNanos, long spentNanos) {
    addSample(nowNanos, true);
    addBusyTime(nowNanos, spentNanos);
  }

  /** Returns the share of its slots believed used, by its reports as far as they are fresh. */
  public double utilization(long nowNanos) {
    double weight =
        hasReport ? ExponentialDecay.weight(nowNanos - lastReportNanos, REPORT_HALF_LIFE_NANOS) : 0;
    return weight * reportedUtilization + (1 - weight) * ASSUMED_UTILIZATION;
  }

  /** Returns whether a load report was seen and still has most of its weight. */
  public boolean hasFreshReport(long nowNanos) {
    return hasReport
        && ExponentialDecay.weight(nowNanos - lastReportNanos, REPORT_HALF_LIFE_NANOS) >= 0.5;
  }

  /** Returns the expected service time; an old one gives way to {@code usualNanos}. */
  public double serviceNanos(long nowNanos, double usualNanos) {
    double weight =
        hasServiceTime
            ? ExponentialDecay.weight(nowNanos - lastServiceTimeNanos, SERVICE_TIME_HALF_LIFE_NANOS)
            : 0;
    return weight * serviceNanos + (1 - weight) * usualNanos;
  }

  /** Returns whether a service time was seen and still has most of its weight. */
  public boolean hasFreshServiceTime(long nowNanos) {
    return hasServiceTime
        && ExponentialDecay.weight(nowNanos - lastServiceTimeNanos, SERVICE_TIME_HALF_LIFE_NANOS)
            >= 0.5;
  }

  /** Returns the number of recent answers and failures; older ones count less. */
  public double samples(long nowNanos) {
    return samples * ExponentialDecay.weight(nowNanos - lastSampleNanos, SAMPLE_HALF_LIFE_NANOS);
  }

  /** Returns the share of recent requests that failed. */
  public double failureShare() {
    return samples == 0 ? 0 : failures / samples;
  }

  /** Returns how many of its slots this entry VM has kept busy lately, on average. */
  public double ownSlotsInUse(long nowNanos) {
    return busyNanos
        * Math.exp(-(nowNanos - busyUpdatedNanos) / BUSY_DECAY_TIME_NANOS)
        / BUSY_DECAY_TIME_NANOS;
  }

  /** Forgets service times and failures, so that the endpoint is judged anew. */
  public void resetSamples() {
    hasServiceTime = false;
    samples = 0;
    failures = 0;
  }

  private void addSample(long nowNanos, boolean failed) {
    double kept = ExponentialDecay.weight(nowNanos - lastSampleNanos, SAMPLE_HALF_LIFE_NANOS);
    samples = samples * kept + 1;
    failures = failures * kept + (failed ? 1 : 0);
    lastSampleNanos = nowNanos;
  }

  private void addBusyTime(long nowNanos, long spentNanos) {
    double kept = Math.exp(-(nowNanos - busyUpdatedNanos) / BUSY_DECAY_TIME_NANOS);
    busyNanos = busyNanos * kept + spentNanos;
    busyUpdatedNanos = nowNanos;
  }
}
