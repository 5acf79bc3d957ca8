package org.mustardstage.standins.bench.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * Measures how many slots stay unused, and for how long, when an entry VM crashes or is replaced
 * under overload.
 */
final class VmChangeRun {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long CHANGE_NANOS = 20_000 * NANOS_PER_MILLI;
  private static final long END_NANOS = 70_000 * NANOS_PER_MILLI;
  private static final long SAMPLE_INTERVAL_NANOS = 50 * NANOS_PER_MILLI;
  private static final int WINDOW_SAMPLES = 20;
  private static final int BASELINE_SAMPLES = 100;
  private static final double FULL_USE_FRACTION = 0.97;
  private static final double OFFERED_LOAD = 1.3;

  private final VirtualTimeScheduler scheduler = new VirtualTimeScheduler();
  private final Workload workload = Workload.cooperative(OFFERED_LOAD);
  private final SlotGauge gauge = new SlotGauge(scheduler, workload.totalSlots());
  private final List<EndpointModel> endpoints = new ArrayList<>();
  private final RandomGenerator random = new SplittableRandom(4);
  private final PermitPolicy policy;
  private final List<Integer> samples = new ArrayList<>();

  /** What happens to entry VM 0. */
  enum Change {
    CRASH_AND_RESTART,
    CRASH_FOR_GOOD,
    GRACEFUL_REPLACEMENT
  }

  /**
   * The measurements of one run.
   *
   * @param maxRequestsAtEndpoint the most requests at one endpoint at the same time; more than its
   *     slots is a violation of the limit
   * @param slotsInUseBefore the mean number of slots in use before the change
   * @param minSlotsInUse the lowest mean number of slots in use over a sliding window
   * @param recoverySeconds the time from the change until the slots stay in full use
   * @param meanSlotsLost the mean number of slots lost until then
   * @param handoverSeconds how long the stopping VM took to hand over its permits; 0 after a crash
   */
  record Result(
      int maxRequestsAtEndpoint,
      double slotsInUseBefore,
      double minSlotsInUse,
      double recoverySeconds,
      double meanSlotsLost,
      double handoverSeconds) {}

  VmChangeRun() {
    for (int index = 0; index < workload.endpoints(); index++) {
      endpoints.add(new EndpointModel(scheduler, gauge, workload.slotsPerEndpoint()));
    }
    policy = new PermitPolicy(scheduler, workload, endpoints, gauge);
  }

  Result run(Change change) {
    policy.start();
    scheduler.runUntil(CHANGE_NANOS / 2);
    scheduleArrivals();
    scheduler.runUntil(CHANGE_NANOS - BASELINE_SAMPLES * SAMPLE_INTERVAL_NANOS);
    sample();
    scheduler.runUntil(CHANGE_NANOS);
    double handoverSeconds = applyChange(change);
    scheduler.runUntil(END_NANOS);
    return result(handoverSeconds);
  }

  private double applyChange(Change change) {
    switch (change) {
      case CRASH_FOR_GOOD -> policy.crash(0);
      case CRASH_AND_RESTART -> {
        policy.crash(0);
        scheduler.schedule(3_000 * NANOS_PER_MILLI, () -> policy.restart(0));
      }
      case GRACEFUL_REPLACEMENT -> {
        return replaceGracefully();
      }
    }
    return 0;
  }

  private double replaceGracefully() {
    policy.stop(0);
    while (!policy.isHandedOver(0) && scheduler.nowNanos() < END_NANOS) {
      scheduler.runUntil(scheduler.nowNanos() + SAMPLE_INTERVAL_NANOS);
    }
    double seconds = (scheduler.nowNanos() - CHANGE_NANOS) / 1e9;
    policy.crash(0);
    policy.restart(0);
    return seconds;
  }

  private void sample() {
    samples.add(gauge.running());
    scheduler.schedule(SAMPLE_INTERVAL_NANOS, this::sample);
  }

  private Result result(double handoverSeconds) {
    double before = mean(0, BASELINE_SAMPLES);
    int recoveredAt = BASELINE_SAMPLES;
    double minInUse = before;
    for (int from = BASELINE_SAMPLES; from + WINDOW_SAMPLES <= samples.size(); from++) {
      double window = mean(from, from + WINDOW_SAMPLES);
      minInUse = Math.min(minInUse, window);
      if (window < FULL_USE_FRACTION * before) {
        recoveredAt = from + WINDOW_SAMPLES;
      }
    }
    boolean hasLoss = recoveredAt > BASELINE_SAMPLES;
    return new Result(
        endpoints.stream().mapToInt(EndpointModel::maxRequests).max().orElse(0),
        before,
        minInUse,
        (recoveredAt - BASELINE_SAMPLES) * SAMPLE_INTERVAL_NANOS / 1e9,
        hasLoss ? before - mean(BASELINE_SAMPLES, recoveredAt) : 0,
        handoverSeconds);
  }

  private double mean(int from, int to) {
    return samples.subList(from, to).stream().mapToInt(Integer::intValue).average().orElse(0);
  }

  private void scheduleArrivals() {
    long serviceTimeNanos = drawExponential((double) workload.meanServiceTimeNanos());
    policy.handleRequest(random.nextInt(workload.entryVms()), serviceTimeNanos, () -> {});
    scheduler.schedule(drawExponential(1 / workload.arrivalsPerNano()), this::scheduleArrivals);
  }

  private long drawExponential(double mean) {
    return 1 + (long) (-Math.log(1 - random.nextDouble()) * mean);
  }
}
