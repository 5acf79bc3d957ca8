package org.mustardstage.core.shift;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/** A condition of the receiving place that stands against a move. */
public final class MoveGate {
  private static final long MAX_REPORT_AGE_NANOS = 3_000_000_000L;
  private static final long MIN_REQUESTS = 20;

  private static final List<MoveGate> HOLDING =
      ImmutableList.of(
          new MoveGate(GateReason.NO_REPORT, olderThan(MAX_REPORT_AGE_NANOS)),
          new MoveGate(GateReason.ERRORS, errorsAbove(0.01)),
          new MoveGate(GateReason.LATENCY, slowdownAbove(1.3)),
          new MoveGate(GateReason.CAPACITY, usedAbove(0.8)));
  private static final List<MoveGate> HOLDING_ONCE_BEGUN =
      ImmutableList.of(
          new MoveGate(GateReason.FEW_REQUESTS, fewerRequestsThan(MIN_REQUESTS)),
          new MoveGate(GateReason.COLD_CACHE, warmthBelow(0.6)));
  private static final List<MoveGate> STEPPING_BACK =
      ImmutableList.of(
          new MoveGate(GateReason.ERRORS, errorsAbove(0.05).and(moreRequestsThan(MIN_REQUESTS))),
          new MoveGate(GateReason.LATENCY, slowdownAbove(2).and(moreRequestsThan(MIN_REQUESTS))),
          new MoveGate(GateReason.CAPACITY, usedAbove(0.95)));
  private static final List<MoveGate> STEPPING_BACK_LATER =
      ImmutableList.of(new MoveGate(GateReason.COLD_CACHE, warmthBelow(0.3)));

  private final GateReason reason;
  private final Predicate<PlaceReport> stands;

  private MoveGate(GateReason reason, Predicate<PlaceReport> stands) {
    this.reason = reason;
    this.stands = stands;
  }

  /** Returns what holds a move at {@code step}; the first step is what warms a cold place. */
  static Optional<GateReason> holds(int step, PlaceReport report) {
    return first(HOLDING, report)
        .or(() -> step == 0 ? Optional.empty() : first(HOLDING_ONCE_BEGUN, report));
  }

  /** Returns what makes a move at {@code step} step back. */
  static Optional<GateReason> stepsBack(int step, PlaceReport report) {
    if (step == 0 || olderThan(MAX_REPORT_AGE_NANOS).test(report)) {
      return Optional.empty();
    }
    return first(STEPPING_BACK, report)
        .or(() -> step == 1 ? Optional.empty() : first(STEPPING_BACK_LATER, report));
  }

  private static Optional<GateReason> first(List<MoveGate> gates, PlaceReport report) {
    for (MoveGate gate : gates) {
      if (gate.stands.test(report)) {
        return Optional.of(gate.reason);
      }
    }
    return Optional.empty();
  }

  private static Predicate<PlaceReport> olderThan(long ageNanos) {
    return report -> report.ageNanos() > ageNanos;
  }

  private static Predicate<PlaceReport> fewerRequestsThan(long requests) {
    return report -> report.requests() < requests;
  }

  private static Predicate<PlaceReport> moreRequestsThan(long requests) {
    return report -> report.requests() > requests;
  }

  private static Predicate<PlaceReport> errorsAbove(double share) {
    return report -> report.errorShare() > share;
  }

  private static Predicate<PlaceReport> slowdownAbove(double multiple) {
    return report -> report.slowdown() > multiple;
  }

  private static Predicate<PlaceReport> usedAbove(double share) {
    return report -> report.usedShare() > share;
  }

  private static Predicate<PlaceReport> warmthBelow(double warmth) {
    return report -> report.warmth() < warmth;
  }
}
