package org.mustardstage.standins.bench.policies;

import com.google.common.primitives.ImmutableLongArray;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.mustardstage.core.manifest.Priority;

/**
 * What a run gave.
 *
 * @param goodput the share of slot time spent on requests that were answered in time
 * @param started the first attempts
 * @param good the attempts answered in time
 * @param refused the attempts refused
 * @param timedOut the attempts whose caller stopped waiting
 * @param gaveUp the callers that gave up after their last attempt
 * @param latencies the latencies of attempts answered in time, as callers see them
 * @param headroom the free share of the busiest endpoint
 * @param goodPerWindow the attempts answered in time in each window
 * @param startedPerWindow the first attempts in each window
 */
record RunResult(
    double goodput,
    long started,
    long good,
    long refused,
    long timedOut,
    long gaveUp,
    Map<Priority, Histogram> latencies,
    Headroom headroom,
    ImmutableLongArray goodPerWindow,
    ImmutableLongArray startedPerWindow) {
  private static final double NANOS_PER_MILLI = 1e6;

  double latencyMillis(Priority priority, double percentile) {
    return latencies.get(priority).getValueAtPercentile(percentile) / NANOS_PER_MILLI;
  }

  long answered(Priority priority) {
    return latencies.get(priority).getTotalCount();
  }
}
