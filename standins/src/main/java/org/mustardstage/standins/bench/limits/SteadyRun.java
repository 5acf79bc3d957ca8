package org.mustardstage.standins.bench.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.HdrHistogram.Histogram;

/** Runs one policy under a steady load and measures it. */
final class SteadyRun {
  private static final long MILLIS = 1_000_000L;
  private static final long WARM_UP_NANOS = 10_000 * MILLIS;
  private static final long MEASURED_NANOS = 60_000 * MILLIS;
  private static final long HIGHEST_NANOS = 3_600_000 * MILLIS;

  private final VirtualTime time = new VirtualTime();
  private final Workload workload;
  private final SlotGauge gauge;
  private final List<EndpointModel> endpoints = new ArrayList<>();
  private final RandomGenerator random = new SplittableRandom(3);
  private final Histogram latency = new Histogram(HIGHEST_NANOS, 3);
  private boolean isMeasuring;
  private long arrived;

  /** Makes a policy for a run. */
  interface PolicyFactory {
    /** Returns the policy. */
    SlotPolicy make(
        VirtualTime time, Workload workload, List<EndpointModel> endpoints, SlotGauge gauge);
  }

  /** What was measured. */
  record Result(
      int mostAtAnEndpoint,
      double idleWhileWaitingShare,
      double p50Millis,
      double p99Millis,
      double messagesPerRequest,
      long refused) {}

  SteadyRun(Workload workload) {
    this.workload = workload;
    this.gauge = new SlotGauge(time, workload.allSlots());
    for (int index = 0; index < workload.endpoints(); index++) {
      endpoints.add(new EndpointModel(time, gauge, workload.slots()));
    }
  }

  Result run(PolicyFactory factory) {
    SlotPolicy policy = factory.make(time, workload, endpoints, gauge);
    policy.start();
    time.runUntil(WARM_UP_NANOS / 2);
    arriveForever(policy);
    time.runUntil(WARM_UP_NANOS);
    long messagesBefore = policy.messages();
    long arrivedBefore = arrived;
    gauge.reset();
    isMeasuring = true;
    time.runUntil(WARM_UP_NANOS + MEASURED_NANOS);
    return new Result(
        endpoints.stream().mapToInt(EndpointModel::most).max().orElse(0),
        gauge.idleWhileWaitingShare(),
        latency.getValueAtPercentile(50) / (double) MILLIS,
        latency.getValueAtPercentile(99) / (double) MILLIS,
        (policy.messages() - messagesBefore) / (double) (arrived - arrivedBefore),
        policy.refused());
  }

  private void arriveForever(SlotPolicy policy) {
    long serviceNanos = exponential((double) workload.meanServiceNanos());
    long startNanos = time.nowNanos();
    arrived++;
    policy.arrive(random.nextInt(workload.entryVms()), serviceNanos, () -> record(startNanos));
    time.after(exponential(1 / workload.requestsPerNano()), () -> arriveForever(policy));
  }

  private void record(long startNanos) {
    if (isMeasuring) {
      latency.recordValue(time.nowNanos() - startNanos);
    }
  }

  private long exponential(double mean) {
    return 1 + (long) (-Math.log(1 - random.nextDouble()) * mean);
  }
}
