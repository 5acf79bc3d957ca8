package org.mustardstage.core.route;

/**
 * What one entry VM knows of an endpoint: its load reports, the service times seen and the failures
 * seen. Each loses weight with age, until what the manifest declares, less a margin, decides.
 */
public final class EndpointHealth {
  private static final double REPORT_HALF_LIFE_NANOS = 1e9;
  private static final double LATENCY_HALF_LIFE_NANOS = 10e9;
  private static final double SAMPLE_WEIGHT = 1.0 / 16;
  private static final double BUSY_WINDOW_NANOS = 2e9;
  private static final double SAMPLE_HALF_LIFE_NANOS = 5e9;

  /** The share of the declared slots that counts as used while nothing is reported. */
  public static final double DECLARED_MARGIN = 0.2;

  private boolean reported;
  private double reportedUsedShare;
  private long reportedNanos;

  private boolean timed;
  private double serviceNanos;
  private long timedNanos;

  private double samples;
  private double failures;
  private long sampledNanos;

  private double busyNanos;
  private long busyUpdatedNanos;

  /** Takes in a load report: the share of its slots that the endpoint says it uses. */
  public void observeReport(long nowNanos, double usedShare) {
    reported = true;
    reportedUsedShare = Math.clamp(usedShare, 0, 1);
    reportedNanos = nowNanos;
  }

  /** Takes in an answer and its service time, without the network. */
  public void observeAnswer(long nowNanos, long answerServiceNanos) {
    countSample(nowNanos, false);
    countBusy(nowNanos, answerServiceNanos);
    serviceNanos =
        timed
            ? serviceNanos + SAMPLE_WEIGHT * (answerServiceNanos - serviceNanos)
            : answerServiceNanos;
    timed = true;
    timedNanos = nowNanos;
  }

  /** Takes in a request that failed: an error, no answer in time, or no connection. */
  public void observeFailure(long nowNanos, long spentNanos) {
    countSample(nowNanos, true);
    countBusy(nowNanos, spentNanos);
  }

  /** Returns the share of its slots believed used, by its reports as far as they are fresh. */
  public double usedShare(long nowNanos) {
    double weight = reported ? Aging.weight(nowNanos - reportedNanos, REPORT_HALF_LIFE_NANOS) : 0;
    return weight * reportedUsedShare + (1 - weight) * DECLARED_MARGIN;
  }

  /** Returns whether a load report was seen and still has most of its weight. */
  public boolean isReported(long nowNanos) {
    return reported && Aging.weight(nowNanos - reportedNanos, REPORT_HALF_LIFE_NANOS) >= 0.5;
  }

  /** Returns the expected service time; an old one gives way to {@code usualNanos}. */
  public double serviceNanos(long nowNanos, double usualNanos) {
    double weight = timed ? Aging.weight(nowNanos - timedNanos, LATENCY_HALF_LIFE_NANOS) : 0;
    return weight * serviceNanos + (1 - weight) * usualNanos;
  }

  /** Returns whether a service time was seen and still has most of its weight. */
  public boolean isTimed(long nowNanos) {
    return timed && Aging.weight(nowNanos - timedNanos, LATENCY_HALF_LIFE_NANOS) >= 0.5;
  }

  /** Returns the number of recent answers and failures; older ones count less. */
  public double samples(long nowNanos) {
    return samples * Aging.weight(nowNanos - sampledNanos, SAMPLE_HALF_LIFE_NANOS);
  }

  /** Returns the share of recent requests that failed. */
  public double failureShare() {
    return samples == 0 ? 0 : failures / samples;
  }

  /** Returns how many of its slots this entry VM has kept busy lately, on average. */
  public double ownSlotsBusy(long nowNanos) {
    return busyNanos
        * Math.exp(-(nowNanos - busyUpdatedNanos) / BUSY_WINDOW_NANOS)
        / BUSY_WINDOW_NANOS;
  }

  /** Forgets service times and failures, so that the endpoint is judged anew. */
  public void forgetAnswers() {
    timed = false;
    samples = 0;
    failures = 0;
  }

  private void countSample(long nowNanos, boolean failed) {
    double kept = Aging.weight(nowNanos - sampledNanos, SAMPLE_HALF_LIFE_NANOS);
    samples = samples * kept + 1;
    failures = failures * kept + (failed ? 1 : 0);
    sampledNanos = nowNanos;
  }

  private void countBusy(long nowNanos, long spentNanos) {
    double kept = Math.exp(-(nowNanos - busyUpdatedNanos) / BUSY_WINDOW_NANOS);
    busyNanos = busyNanos * kept + spentNanos;
    busyUpdatedNanos = nowNanos;
  }
}
