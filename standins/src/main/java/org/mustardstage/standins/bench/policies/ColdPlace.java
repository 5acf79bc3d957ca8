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
 * A place that serves 45% of its capacity and receives 40% of a like place. Moved requests take
 * five times as long while its cache holds nothing of them; each one warms it a little.
 */
final class ColdPlace {
  private static final double STEP_SECONDS = 0.1;
  private static final long STEP_NANOS = 100_000_000;
  private static final int TICKS = 3_000;
  private static final int RESTART_TICK = 600;
  private static final int REPORT_LAG_TICKS = 10;
  private static final double OWN_LOAD = 0.45;
  private static final double MISS_COST = 4;
  private static final double REQUESTS_PER_SECOND = 2_000;
  private static final double REQUESTS_TO_WARM = 4_000;
  private static final PlannedMove MOVE =
      new PlannedMove(
          new MoveId("move"),
          new ServiceName("s"),
          new RegionId("a"),
          new RegionId("b"),
          0.4,
          8,
          5_000);

  private final boolean gated;
  private final boolean restarts;
  private final double[] slowdowns = new double[TICKS];
  private final double[] usedShares = new double[TICKS];
  private final double[] warmths = new double[TICKS];
  private MoveState state = MoveState.initial(MOVE.id());
  private long heldNanos;
  private double warmth;
  private double mostUsed;
  private double mostSlowdown;
  private int overloadedTicks;
  private int stepsBack;
  private int completeTick = -1;

  ColdPlace(boolean gated, boolean restarts) {
    this.gated = gated;
    this.restarts = restarts;
  }

  void run() {
    for (int tick = 0; tick < TICKS; tick++) {
      if (restarts && tick == RESTART_TICK) {
        warmth = 0;
      }
      serve(tick, gated ? state.share(MOVE) : MOVE.capShare());
      if (gated) {
        decide(tick);
      }
      noteCompletion(tick);
    }
  }

  double mostUsed() {
    return mostUsed;
  }

  double mostSlowdown() {
    return mostSlowdown;
  }

  double overloadedSeconds() {
    return overloadedTicks * STEP_SECONDS;
  }

  /** Returns when all steps were taken and the cache was warm, to stay so; -1 when never. */
  double completeSeconds() {
    return completeTick < 0 ? -1 : completeTick * STEP_SECONDS;
  }

  int stepsBack() {
    return stepsBack;
  }

  private void serve(int tick, double share) {
    double movedLoad = OWN_LOAD * share;
    double movedCost = 1 + MISS_COST * (1 - warmth);
    double used = OWN_LOAD + movedLoad * movedCost;
    slowdowns[tick] = used / (OWN_LOAD + movedLoad);
    usedShares[tick] = used;
    warmths[tick] = warmth;
    mostUsed = Math.max(mostUsed, used);
    mostSlowdown = Math.max(mostSlowdown, slowdowns[tick]);
    overloadedTicks += used > 1 ? 1 : 0;
    double requests = REQUESTS_PER_SECOND * share * STEP_SECONDS;
    warmth += (1 - warmth) * Math.min(1, requests / REQUESTS_TO_WARM);
  }

  private void decide(int tick) {
    heldNanos += STEP_NANOS;
    MoveState before = state;
    state =
        switch (MoveStepPolicy.decide(MOVE, state, heldNanos, report(tick))) {
          case MoveDecision.StepForward forward -> forward.next();
          case MoveDecision.StepBack back -> back.next();
          case MoveDecision.Hold hold -> state;
        };
    stepsBack += state.step() < before.step() ? 1 : 0;
    heldNanos = state.equals(before) ? heldNanos : 0;
  }

  private Optional<ReceivingRegionReport> report(int tick) {
    int seen = tick - REPORT_LAG_TICKS;
    if (seen < 0) {
      return Optional.empty();
    }
    double used = Math.min(1, usedShares[seen]);
    return Optional.of(
        new ReceivingRegionReport(
            REPORT_LAG_TICKS * STEP_NANOS, 1_000, slowdowns[seen], 0, used, warmths[seen]));
  }

  private void noteCompletion(int tick) {
    boolean complete = (!gated || state.step() == MOVE.steps()) && warmth > 0.9;
    completeTick = complete ? (completeTick < 0 ? tick : completeTick) : -1;
  }
}
