package org.mustardstage.standins.bench.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/** Measures how many slots are lost, and for how long, when an entry VM ends. */
final class ChangeRun {
  private static final long MILLIS = 1_000_000L;
  private static final long CHANGE_NANOS = 20_000 * MILLIS;
  private static final long END_NANOS = 70_000 * MILLIS;
  private static final long SAMPLE_NANOS = 50 * MILLIS;
  private static final int WINDOW_SAMPLES = 20;
  private static final int BEFORE_SAMPLES = 100;
  private static final double FULL_SHARE = 0.97;
  private static final double OVERLOAD = 1.3;

  private final VirtualTime time = new VirtualTime();
  private final Workload workload = Workload.cooperative(OVERLOAD);
  private final SlotGauge gauge = new SlotGauge(time, workload.allSlots());
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

  /** What was measured. */
  record Result(
      int mostAtAnEndpoint,
      double slotsUsedBefore,
      double fewestSlotsUsed,
      double fullUseAfterSeconds,
      double meanSlotsLost,
      double handoverSeconds) {}

  ChangeRun() {
    for (int index = 0; index < workload.endpoints(); index++) {
      endpoints.add(new EndpointModel(time, gauge, workload.slots()));
    }
    policy = new PermitPolicy(time, workload, endpoints, gauge);
  }

  Result run(Change change) {
    policy.start();
    time.runUntil(CHANGE_NANOS / 2);
    arriveForever();
    time.runUntil(CHANGE_NANOS - BEFORE_SAMPLES * SAMPLE_NANOS);
    sample();
    time.runUntil(CHANGE_NANOS);
    double handoverSeconds = begin(change);
    time.runUntil(END_NANOS);
    return result(handoverSeconds);
  }

  private double begin(Change change) {
    switch (change) {
      case CRASH_FOR_GOOD -> policy.crash(0);
      case CRASH_AND_RESTART -> {
        policy.crash(0);
        time.after(3_000 * MILLIS, () -> policy.restart(0));
      }
      case GRACEFUL_REPLACEMENT -> {
        return replace();
      }
    }
    return 0;
  }

  private double replace() {
    policy.stop(0);
    while (!policy.isHandedOver(0) && time.nowNanos() < END_NANOS) {
      time.runUntil(time.nowNanos() + SAMPLE_NANOS);
    }
    double seconds = (time.nowNanos() - CHANGE_NANOS) / 1e9;
    policy.crash(0);
    policy.restart(0);
    return seconds;
  }

  private void sample() {
    samples.add(gauge.running());
    time.after(SAMPLE_NANOS, this::sample);
  }

  private Result result(double handoverSeconds) {
    double before = mean(0, BEFORE_SAMPLES);
    int end = BEFORE_SAMPLES;
    double fewest = before;
    for (int from = BEFORE_SAMPLES; from + WINDOW_SAMPLES <= samples.size(); from++) {
      double window = mean(from, from + WINDOW_SAMPLES);
      fewest = Math.min(fewest, window);
      if (window < FULL_SHARE * before) {
        end = from + WINDOW_SAMPLES;
      }
    }
    boolean isLost = end > BEFORE_SAMPLES;
    return new Result(
        endpoints.stream().mapToInt(EndpointModel::most).max().orElse(0),
        before,
        fewest,
        (end - BEFORE_SAMPLES) * SAMPLE_NANOS / 1e9,
        isLost ? before - mean(BEFORE_SAMPLES, end) : 0,
        handoverSeconds);
  }

  private double mean(int from, int to) {
    return samples.subList(from, to).stream().mapToInt(Integer::intValue).average().orElse(0);
  }

  private void arriveForever() {
    long serviceNanos = exponential((double) workload.meanServiceNanos());
    policy.arrive(random.nextInt(workload.entryVms()), serviceNanos, () -> {});
    time.after(exponential(1 / workload.requestsPerNano()), this::arriveForever);
  }

  private long exponential(double mean) {
    return 1 + (long) (-Math.log(1 - random.nextDouble()) * mean);
  }
}
