package org.mustardstage.core.fuzz;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Tuple;
import org.mustardstage.core.permit.PermitFault;

/**
 * Permits under load and faults: an endpoint never runs more requests than it has slots, and
 * permits are not lost.
 */
final class PermitScenario implements Scenario<PermitStep> {
  private static final int MAX_STEPS = 24;

  private final PermitFault fault;

  PermitScenario(PermitFault fault) {
    this.fault = fault;
  }

  @Override
  public String name() {
    return "permits";
  }

  @Override
  public Arbitrary<List<PermitStep>> sequences() {
    Arbitrary<Integer> vm = Arbitraries.integers().between(0, PermitRun.VMS - 1);
    Arbitrary<Integer> percent = Arbitraries.integers().between(0, 40);
    Arbitrary<Boolean> flag = Arbitraries.of(false, true);
    Arbitrary<PermitStep> load =
        Combinators.combine(
                Arbitraries.integers().between(50, 3_000),
                Arbitraries.integers().between(2, 20),
                percent,
                Arbitraries.integers().between(50, 750))
            .as(PermitStep.SendLoad::new);
    Arbitrary<PermitStep> messageFaults =
        Combinators.combine(
                percent,
                Arbitraries.integers().between(0, 80),
                Arbitraries.integers().between(0, 400))
            .as(PermitStep.MessageFaults::new);
    Arbitrary<PermitStep> step =
        Arbitraries.frequencyOf(
            Tuple.of(8, load),
            Tuple.of(1, vm.map(PermitStep.Crash::new)),
            Tuple.of(2, vm.map(PermitStep.Restart::new)),
            Tuple.of(
                2,
                Combinators.combine(vm, Arbitraries.integers().between(100, 5_000))
                    .as(PermitStep.Pause::new)),
            Tuple.of(4, Combinators.combine(vm, flag).as(PermitStep.Isolate::new)),
            Tuple.of(1, vm.map(PermitStep.Partition::new)),
            Tuple.of(1, vm.map(PermitStep.Reconnect::new)),
            Tuple.of(1, flag.map(PermitStep.SetStoreDown::new)),
            Tuple.of(1, percent.map(PermitStep.LoseStoreResponses::new)),
            Tuple.of(4, messageFaults),
            Tuple.of(1, vm.map(PermitStep.Stop::new)),
            Tuple.of(
                1,
                Combinators.combine(
                        Arbitraries.integers().between(0, PermitRun.LIMITS - 1),
                        Arbitraries.integers().between(1, 5))
                    .as(PermitStep.ResizeLimit::new)));
    return step.list().ofMinSize(4).ofMaxSize(MAX_STEPS);
  }

  @Override
  public Optional<String> run(List<PermitStep> steps) {
    return new PermitRun(fault).run(steps);
  }
}
