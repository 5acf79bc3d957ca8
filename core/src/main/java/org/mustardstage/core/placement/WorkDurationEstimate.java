package org.mustardstage.core.placement;

/**
 * Estimates how long work takes on an endpoint's machine from what the endpoint says of it, as a
 * multiple of the usual duration.
 *
 * <p>Handles endpoints that share their machines with others: the figure changes many times a
 * second, so reports that follow each other closely are averaged, while one that comes after a
 * pause replaces what was known. Without further reports the estimate returns to the usual
 * duration, so that an endpoint that was left because of it is tried again. A report may be false
 * or absurd, so its effect is bounded.
 */
final class WorkDurationEstimate {
  /** Time over which reports are averaged; an endpoint that turns slow must be left in a second. */
  private static final double AVERAGING_NANOS = 300e6;

  /** The least weight of a report, by which a burst of reports still has an effect. */
  private static final double MIN_WEIGHT = 0.1;

  /** Half-life of the difference from the usual duration since the last report. */
  private static final double HALF_LIFE_NANOS = 2e9;

  private static final double MIN_DURATION = 0.25;
  private static final double MAX_DURATION = 20;

  private double logDuration;
  private long reportedNanos;
  private boolean reported;

  /** Records that work takes {@code duration} times as long as usual. */
  void addReport(long nowNanos, double duration) {
    double sample = Math.log(Math.clamp(duration, MIN_DURATION, MAX_DURATION));
    double weight =
        reported
            ? Math.max(MIN_WEIGHT, 1 - Math.exp(-(nowNanos - reportedNanos) / AVERAGING_NANOS))
            : 1;
    logDuration += weight * (sample - logDuration);
    reportedNanos = nowNanos;
    reported = true;
  }

  /** Returns the expected duration of work now; exactly 1 without a report. */
  double estimate(long nowNanos) {
    return reported
        ? Math.exp(logDuration * Math.pow(2, -(nowNanos - reportedNanos) / HALF_LIFE_NANOS))
        : 1;
  }

  /** Returns the estimate, but at least 1. */
  double slowdown(long nowNanos) {
    return Math.max(1, estimate(nowNanos));
  }
}
