package org.mustardstage.standins.bench.policies;

import java.util.Optional;
import org.mustardstage.core.id.MoveId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.manifest.PlannedMove;
import org.mustardstage.core.shift.MoveDecision;
import org.mustardstage.core.shift.MoveState;
import org.mustardstage.core.shift.MoveStepPolicy;
import org.mustardstage.core.shift.ReceivingRegionReport;

/**
 * Simulates a region at 45% utilization that receives 40% of the requests of an equally loaded
 * region. A moved request takes five times as long while the cache is cold; each one warms the
 * cache a little. A stepwise move is controlled by {@link MoveStepPolicy} with delayed reports; any
 * other move sends the whole share at once.
 */
final class ColdRegionModel {
  private static final double TICK_SECONDS = 0.1;
  private static final long TICK_NANOS = 100_000_000;
  private static final int TICKS = 3_000;
  private static final int RESTART_TICK = 600;
  private static final int REPORT_LAG_TICKS = 10;
  private static final double OWN_UTILIZATION = 0.45;
  private static final double CACHE_MISS_EXTRA_COST = 4;
  private static final double REQUESTS_PER_SECOND = 2_000;
  private static final double WARM_UP_REQUESTS = 4_000;
  private static final PlannedMove MOVE =
      new PlannedMove(
          new MoveId("move"),
          new ServiceName("s"),
          new RegionId("a"),
          new RegionId("b"),
          0.4,
          8,
          5_000);

  private final boolean stepwise;
  private final boolean restarts;
  private final double[] slowdowns = new double[TICKS];
  private final double[] utilizations = new double[TICKS];
  private final double[] warmths = new double[TICKS];
  private MoveState state = MoveState.initial(MOVE.id());
  private long nanosInStep;
  private double warmth;
  private double maxUtilization;
  private double maxSlowdown;
  private int overloadedTicks;
  private int stepBackCount;
  private int completionTick = -1;

  ColdRegionModel(boolean stepwise, boolean restarts) {
    this.stepwise = stepwise;
    this.restarts = restarts;
  }

  void run() {
    for (int tick = 0; tick < TICKS; tick++) {
      if (restarts && tick == RESTART_TICK) {
        warmth = 0;
      }
      simulateTick(tick, stepwise ? state.share(MOVE) : MOVE.capShare());
      if (stepwise) {
        updateMoveStep(tick);
      }
      updateCompletion(tick);
    }
  }

  double maxUtilization() {
    return maxUtilization;
  }

  double maxSlowdown() {
    return maxSlowdown;
  }

  double overloadedSeconds() {
    return overloadedTicks * TICK_SECONDS;
  }

  /**
   * Returns the time from which all steps of the move were taken and the cache stayed warm, or -1
   * if that never happened.
   */
  double completionSeconds() {
    return completionTick < 0 ? -1 : completionTick * TICK_SECONDS;
  }

  int stepBackCount() {
    return stepBackCount;
  }

  private void simulateTick(int tick, double share) {
    double movedLoad = OWN_UTILIZATION * share;
    double movedCost = 1 + CACHE_MISS_EXTRA_COST * (1 - warmth);
    double utilization = OWN_UTILIZATION + movedLoad * movedCost;
    slowdowns[tick] = utilization / (OWN_UTILIZATION + movedLoad);
    utilizations[tick] = utilization;
    warmths[tick] = warmth;
    maxUtilization = Math.max(maxUtilization, utilization);
    maxSlowdown = Math.max(maxSlowdown, slowdowns[tick]);
    overloadedTicks += utilization > 1 ? 1 : 0;
    double requests = REQUESTS_PER_SECOND * share * TICK_SECONDS;
    warmth += (1 - warmth) * Math.min(1, requests / WARM_UP_REQUESTS);
  }

  private void updateMoveStep(int tick) {
    nanosInStep += TICK_NANOS;
    MoveState before = state;
    state =
        switch (MoveStepPolicy.decide(MOVE, state, nanosInStep, delayedReport(tick))) {
          case MoveDecision.StepForward forward -> forward.next();
          case MoveDecision.StepBack back -> back.next();
          case MoveDecision.Hold hold -> state;
        };
    stepBackCount += state.step() < before.step() ? 1 : 0;
    nanosInStep = state.equals(before) ? nanosInStep : 0;
  }

  private Optional<ReceivingRegionReport> delayedReport(int tick) {
    int reportedTick = tick - REPORT_LAG_TICKS;
    if (reportedTick < 0) {
      return Optional.empty();
    }
    double utilization = Math.min(1, utilizations[reportedTick]);
    return Optional.of(
        new ReceivingRegionReport(
            REPORT_LAG_TICKS * TICK_NANOS,
            1_000,
            slowdowns[reportedTick],
            0,
            utilization,
            warmths[reportedTick]));
  }

  private void updateCompletion(int tick) {
    boolean isComplete = (!stepwise || state.step() == MOVE.steps()) && warmth > 0.9;
    completionTick = isComplete ? (completionTick < 0 ? tick : completionTick) : -1;
  }
}
