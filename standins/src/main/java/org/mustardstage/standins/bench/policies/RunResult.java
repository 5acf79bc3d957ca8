package org.mustardstage.standins.bench.policies;

import com.google.common.primitives.ImmutableLongArray;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.mustardstage.core.manifest.Priority;

/**
 * The measurements of one run.
 *
 * @param goodput the fraction of slot time spent on requests whose response came in time
 * @param arrivals the first requests of callers, without retries
 * @param succeeded the requests and retries whose response came in time
 * @param rejected the requests and retries that were rejected
 * @param timedOut the requests and retries that timed out
 * @param abandoned the callers whose last retry failed
 * @param latencies the latencies of the requests and retries that succeeded, as callers see them
 * @param headroom the fraction of free slots at the busiest endpoint
 * @param succeededPerWindow the requests and retries that succeeded in each window
 * @param arrivalsPerWindow the first requests of callers in each window, without retries
 */
record RunResult(
    double goodput,
    long arrivals,
    long succeeded,
    long rejected,
    long timedOut,
    long abandoned,
    Map<Priority, Histogram> latencies,
    Headroom headroom,
    ImmutableLongArray succeededPerWindow,
    ImmutableLongArray arrivalsPerWindow) {
  private static final double NANOS_PER_MILLI = 1e6;

  double latencyMillis(Priority priority, double percentile) {
    return latencies.get(priority).getValueAtPercentile(percentile) / NANOS_PER_MILLI;
  }

  long succeededRequests(Priority priority) {
    return latencies.get(priority).getTotalCount();
  }
}
