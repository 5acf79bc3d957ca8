package org.mustardstage.core.fuzz;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import org.mustardstage.core.shift.ShareCounter;

/** A planned move: the attempts that all VMs moved never exceed the cap, at any prefix. */
final class ShareScenario implements Scenario<ShareStep> {
  private static final int VMS = 3;
  private static final int CAP_PERCENT = 30;
  private static final int MAX_STEPS = 40;

  private final ShareFault fault;

  ShareScenario(ShareFault fault) {
    this.fault = fault;
  }

  @Override
  public String name() {
    return "shares";
  }

  @Override
  public Arbitrary<List<ShareStep>> sequences() {
    Arbitrary<Integer> vm = Arbitraries.integers().between(0, VMS - 1);
    Arbitrary<Integer> count = Arbitraries.integers().between(1, 20);
    Arbitrary<Integer> percent = Arbitraries.integers().between(0, 100);
    Arbitrary<ShareStep> step =
        Arbitraries.oneOf(
            Combinators.combine(vm, count).as(ShareStep.First::new),
            Combinators.combine(vm, count).as(ShareStep.Further::new),
            Combinators.combine(vm, percent).as(ShareStep.Share::new),
            vm.map(ShareStep.Restart::new));
    return step.list().ofMaxSize(MAX_STEPS);
  }

  @Override
  public Optional<String> run(List<ShareStep> steps) {
    Run run = new Run();
    for (ShareStep step : steps) {
      run.apply(step);
      if (run.violation != null) {
        break;
      }
    }
    return Optional.ofNullable(run.violation);
  }

  /** Three counters and the oracle: attempts and moves, counted. */
  private final class Run {
    private final List<ShareCounter> counters = new ArrayList<>();
    private long attempts;
    private long moved;
    private String violation;

    Run() {
      for (int vm = 0; vm < VMS; vm++) {
        counters.add(newCounter());
      }
    }

    private ShareCounter newCounter() {
      int capPercent = fault == ShareFault.STEP_ABOVE_CAP ? 2 * CAP_PERCENT : CAP_PERCENT;
      return new ShareCounter(capPercent / 100.0);
    }

    void apply(ShareStep step) {
      switch (step) {
        case ShareStep.First first -> first(counters.get(first.vm()), first.count());
        case ShareStep.Further further -> further(counters.get(further.vm()), further.count());
        case ShareStep.Share share -> counters.get(share.vm()).setShare(share.percent() / 100.0);
        case ShareStep.Restart restart -> counters.set(restart.vm(), newCounter());
      }
    }

    private void first(ShareCounter counter, int count) {
      for (int index = 0; index < count; index++) {
        attempts++;
        count(counter.moveFirstAttempt());
      }
    }

    private void further(ShareCounter counter, int count) {
      for (int index = 0; index < count; index++) {
        count(counter.moveFurtherAttempt() || fault == ShareFault.FORGET_RETRY);
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
