package org.mustardstage.core.fuzz;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import org.mustardstage.core.shift.MoveShareLimiter;

/**
 * A planned move on several VMs: after every step, the moved attempts of all VMs do not exceed the
 * cap.
 */
final class MoveShareScenario implements Scenario<MoveShareStep> {
  private static final int VMS = 3;
  private static final int CAP_PERCENT = 30;
  private static final int MAX_STEPS = 40;

  private final MoveShareFault fault;

  MoveShareScenario(MoveShareFault fault) {
    this.fault = fault;
  }

  @Override
  public String name() {
    return "shares";
  }

  @Override
  public Arbitrary<List<MoveShareStep>> sequences() {
    Arbitrary<Integer> vm = Arbitraries.integers().between(0, VMS - 1);
    Arbitrary<Integer> count = Arbitraries.integers().between(1, 20);
    Arbitrary<Integer> percent = Arbitraries.integers().between(0, 100);
    Arbitrary<MoveShareStep> step =
        Arbitraries.oneOf(
            Combinators.combine(vm, count).as(MoveShareStep.FirstAttempts::new),
            Combinators.combine(vm, count).as(MoveShareStep.RetriesOrHedges::new),
            Combinators.combine(vm, percent).as(MoveShareStep.SetShare::new),
            vm.map(MoveShareStep.ReplaceVm::new));
    return step.list().ofMaxSize(MAX_STEPS);
  }

  @Override
  public Optional<String> run(List<MoveShareStep> steps) {
    LimiterRun run = new LimiterRun();
    for (MoveShareStep step : steps) {
      run.apply(step);
      if (run.violation != null) {
        break;
      }
    }
    return Optional.ofNullable(run.violation);
  }

  /**
   * Holds one limiter for each VM and the oracle, which counts first attempts and moved attempts.
   */
  private final class LimiterRun {
    private final List<MoveShareLimiter> limiters = new ArrayList<>();
    private long firstAttempts;
    private long moved;
    private String violation;

    LimiterRun() {
      for (int vm = 0; vm < VMS; vm++) {
        limiters.add(newLimiter());
      }
    }

    private MoveShareLimiter newLimiter() {
      int capPercent = fault == MoveShareFault.CAP_EXCEEDED ? 2 * CAP_PERCENT : CAP_PERCENT;
      return new MoveShareLimiter(capPercent / 100.0);
    }

    void apply(MoveShareStep step) {
      switch (step) {
        case MoveShareStep.FirstAttempts attempts ->
            sendFirstAttempts(limiters.get(attempts.vm()), attempts.count());
        case MoveShareStep.RetriesOrHedges attempts ->
            sendRetriesOrHedges(limiters.get(attempts.vm()), attempts.count());
        case MoveShareStep.SetShare share ->
            limiters.get(share.vm()).setShare(share.percent() / 100.0);
        case MoveShareStep.ReplaceVm replace -> limiters.set(replace.vm(), newLimiter());
      }
    }

    private void sendFirstAttempts(MoveShareLimiter limiter, int count) {
      for (int index = 0; index < count; index++) {
        firstAttempts++;
        count(limiter.moveFirstAttempt());
      }
    }

    private void sendRetriesOrHedges(MoveShareLimiter limiter, int count) {
      for (int index = 0; index < count; index++) {
        count(limiter.moveRetryOrHedge() || fault == MoveShareFault.RETRIES_NOT_LIMITED);
      }
    }

    private void count(boolean isMoved) {
      moved += isMoved ? 1 : 0;
      if (moved * 100 > firstAttempts * CAP_PERCENT && violation == null) {
        violation = moved + " attempts moved of " + firstAttempts + " first attempts";
      }
    }
  }
}
