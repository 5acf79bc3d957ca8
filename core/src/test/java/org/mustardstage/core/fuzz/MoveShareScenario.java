package org.mustardstage.core.fuzz;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import org.mustardstage.core.shift.MoveShareLimiter;

/** A planned move: the attempts that all VMs moved never exceed the cap, at any prefix. */
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
    Run run = new Run();
    for (MoveShareStep step : steps) {
      run.apply(step);
      if (run.violation != null) {
        break;
      }
    }
    return Optional.ofNullable(run.violation);
  }

  /** Three counters and the oracle: attempts and moves, counted. */
  private final class Run {
    private final List<MoveShareLimiter> counters = new ArrayList<>();
    private long attempts;
    private long moved;
    private String violation;

    Run() {
      for (int vm = 0; vm < VMS; vm++) {
        counters.add(newCounter());
      }
    }

    private MoveShareLimiter newCounter() {
      int capPercent = fault == MoveShareFault.CAP_EXCEEDED ? 2 * CAP_PERCENT : CAP_PERCENT;
      return new MoveShareLimiter(capPercent / 100.0);
    }

    void apply(MoveShareStep step) {
      switch (step) {
        case MoveShareStep.FirstAttempts first -> first(counters.get(first.vm()), first.count());
        case MoveShareStep.RetriesOrHedges further ->
            further(counters.get(further.vm()), further.count());
        case MoveShareStep.SetShare share ->
            counters.get(share.vm()).setShare(share.percent() / 100.0);
        case MoveShareStep.ReplaceVm restart -> counters.set(restart.vm(), newCounter());
      }
    }

    private void first(MoveShareLimiter counter, int count) {
      for (int index = 0; index < count; index++) {
        attempts++;
        count(counter.moveFirstAttempt());
      }
    }

    private void further(MoveShareLimiter counter, int count) {
      for (int index = 0; index < count; index++) {
        count(counter.moveRetryOrHedge() || fault == MoveShareFault.RETRIES_NOT_LIMITED);
      }
    }

    private void count(boolean isMoved) {
      moved += isMoved ? 1 : 0;
      if (moved * 100 > attempts * CAP_PERCENT && violation == null) {
        violation = moved + " attempts moved of " + attempts;
      }
    }
  }
}
