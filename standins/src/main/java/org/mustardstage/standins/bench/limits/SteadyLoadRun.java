package org.mustardstage.standins.bench.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.HdrHistogram.Histogram;

/** Measures one dispatch policy under a constant offered load. */
final class SteadyLoadRun {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long WARM_UP_NANOS = 10_000 * NANOS_PER_MILLI;
  private static final long MEASUREMENT_NANOS = 60_000 * NANOS_PER_MILLI;
  private static final long MAX_LATENCY_NANOS = 3_600_000 * NANOS_PER_MILLI;

  private final VirtualTimeScheduler scheduler = new VirtualTimeScheduler();
  private final Workload workload;
  private final SlotGauge gauge;
  private final List<EndpointModel> endpoints = new ArrayList<>();
  private final RandomGenerator random = new SplittableRandom(3);
  private final Histogram latency = new Histogram(MAX_LATENCY_NANOS, 3);
  private boolean isMeasuring;
  private long arrivals;

  /** Creates the policy of a run. */
  interface PolicyFactory {
    /** Creates a policy on the scheduler, endpoints and gauge of the run. */
    DispatchPolicy create(
        VirtualTimeScheduler scheduler,
        Workload workload,
        List<EndpointModel> endpoints,
        SlotGauge gauge);
  }

  /**
   * The measurements of one run.
   *
   * @param maxRequestsAtEndpoint the most requests at one endpoint at the same time; more than its
   *     slots is a violation of the limit
   * @param idleWhileWaitingShare the fraction of slot time that was idle while a request waited
   * @param p50Millis the median latency of the requests
   * @param p99Millis the 99th percentile of the latency
   * @param messagesPerRequest the messages between entry VMs for each request
   * @param rejectedRequests the requests that were rejected because they got no permit
   */
  record Result(
      int maxRequestsAtEndpoint,
      double idleWhileWaitingShare,
      double p50Millis,
      double p99Millis,
      double messagesPerRequest,
      long rejectedRequests) {}

  SteadyLoadRun(Workload workload) {
    this.workload = workload;
    this.gauge = new SlotGauge(scheduler, workload.totalSlots());
    for (int index = 0; index < workload.endpoints(); index++) {
      endpoints.add(new EndpointModel(scheduler, gauge, workload.slotsPerEndpoint()));
    }
  }

  Result run(PolicyFactory factory) {
    DispatchPolicy policy = factory.create(scheduler, workload, endpoints, gauge);
    policy.start();
    scheduler.runUntil(WARM_UP_NANOS / 2);
    scheduleArrivals(policy);
    scheduler.runUntil(WARM_UP_NANOS);
    long messagesBefore = policy.sentMessages();
    long arrivedBefore = arrivals;
    gauge.reset();
    isMeasuring = true;
    scheduler.runUntil(WARM_UP_NANOS + MEASUREMENT_NANOS);
    return new Result(
        endpoints.stream().mapToInt(EndpointModel::maxRequests).max().orElse(0),
        gauge.idleWhileWaitingShare(),
        latency.getValueAtPercentile(50) / (double) NANOS_PER_MILLI,
        latency.getValueAtPercentile(99) / (double) NANOS_PER_MILLI,
        (policy.sentMessages() - messagesBefore) / (double) (arrivals - arrivedBefore),
        policy.rejectedRequests());
  }

  private void scheduleArrivals(DispatchPolicy policy) {
    long serviceTimeNanos = drawExponential((double) workload.meanServiceTimeNanos());
    long startNanos = scheduler.nowNanos();
    arrivals++;
    policy.handleRequest(
        random.nextInt(workload.entryVms()), serviceTimeNanos, () -> recordLatency(startNanos));
    scheduler.schedule(
        drawExponential(1 / workload.arrivalsPerNano()), () -> scheduleArrivals(policy));
  }

  private void recordLatency(long startNanos) {
    if (isMeasuring) {
      latency.recordValue(scheduler.nowNanos() - startNanos);
    }
  }

  private long drawExponential(double mean) {
    return 1 + (long) (-Math.log(1 - random.nextDouble()) * mean);
  }
}
