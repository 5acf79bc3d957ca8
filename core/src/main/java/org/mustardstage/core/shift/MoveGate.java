package org.mustardstage.core.shift;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/** A condition of the receiving region that makes a planned move hold or step back. */
public final class MoveGate {
  private static final long MAX_REPORT_AGE_NANOS = 3_000_000_000L;
  private static final long MIN_REQUESTS = 20;

  private static final List<MoveGate> HOLD_GATES =
      ImmutableList.of(
          new MoveGate(GateReason.NO_REPORT, olderThan(MAX_REPORT_AGE_NANOS)),
          new MoveGate(GateReason.ERRORS, errorRateAbove(0.01)),
          new MoveGate(GateReason.LATENCY, slowdownAbove(1.3)),
          new MoveGate(GateReason.CAPACITY, utilizationAbove(0.8)));
  private static final List<MoveGate> HOLD_GATES_AFTER_FIRST_STEP =
      ImmutableList.of(
          new MoveGate(GateReason.FEW_REQUESTS, fewerRequestsThan(MIN_REQUESTS)),
          new MoveGate(GateReason.COLD_CACHE, warmthBelow(0.6)));
  private static final List<MoveGate> STEP_BACK_GATES =
      ImmutableList.of(
          new MoveGate(GateReason.ERRORS, errorRateAbove(0.05).and(moreRequestsThan(MIN_REQUESTS))),
          new MoveGate(GateReason.LATENCY, slowdownAbove(2).and(moreRequestsThan(MIN_REQUESTS))),
          new MoveGate(GateReason.CAPACITY, utilizationAbove(0.95)));
  private static final List<MoveGate> STEP_BACK_GATES_FROM_SECOND_STEP =
      ImmutableList.of(new MoveGate(GateReason.COLD_CACHE, warmthBelow(0.3)));

  private final GateReason reason;
  private final Predicate<ReceivingRegionReport> blocks;

  private MoveGate(GateReason reason, Predicate<ReceivingRegionReport> blocks) {
    this.reason = reason;
    this.blocks = blocks;
  }

  /**
   * Returns why a move that has taken {@code step} steps must hold. Some gates apply only after the
   * first step, since that step is what sends the requests that warm cold caches.
   */
  static Optional<GateReason> findHoldReason(int step, ReceivingRegionReport report) {
    return firstBlocking(HOLD_GATES, report)
        .or(
            () ->
                step == 0 ? Optional.empty() : firstBlocking(HOLD_GATES_AFTER_FIRST_STEP, report));
  }

  /**
   * Returns why a move that has taken {@code step} steps must step back. A report that is too old
   * causes no step back, and cold caches do so only from the second step on, as the first one is
   * meant to warm them.
   */
  static Optional<GateReason> findStepBackReason(int step, ReceivingRegionReport report) {
    if (step == 0 || olderThan(MAX_REPORT_AGE_NANOS).test(report)) {
      return Optional.empty();
    }
    return firstBlocking(STEP_BACK_GATES, report)
        .or(
            () ->
                step == 1
                    ? Optional.empty()
                    : firstBlocking(STEP_BACK_GATES_FROM_SECOND_STEP, report));
  }

  private static Optional<GateReason> firstBlocking(
      List<MoveGate> gates, ReceivingRegionReport report) {
    for (MoveGate gate : gates) {
      if (gate.blocks.test(report)) {
        return Optional.of(gate.reason);
      }
    }
    return Optional.empty();
  }

  private static Predicate<ReceivingRegionReport> olderThan(long ageNanos) {
    return report -> report.ageNanos() > ageNanos;
  }

  private static Predicate<ReceivingRegionReport> fewerRequestsThan(long requests) {
    return report -> report.requests() < requests;
  }

  private static Predicate<ReceivingRegionReport> moreRequestsThan(long requests) {
    return report -> report.requests() > requests;
  }

  private static Predicate<ReceivingRegionReport> errorRateAbove(double limit) {
    return report -> report.errorRate() > limit;
  }

  private static Predicate<ReceivingRegionReport> slowdownAbove(double ratio) {
    return report -> report.slowdown() > ratio;
  }

  private static Predicate<ReceivingRegionReport> utilizationAbove(double limit) {
    return report -> report.utilization() > limit;
  }

  private static Predicate<ReceivingRegionReport> warmthBelow(double warmth) {
    return report -> report.warmth() < warmth;
  }
}
