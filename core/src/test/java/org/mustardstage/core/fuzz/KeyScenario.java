package org.mustardstage.core.fuzz;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Tuple;

/**
 * Requests with idempotency keys: a non-idempotent request runs at most once, and it is reported as
 * not run only if it did not run.
 */
final class KeyScenario implements Scenario<KeyStep> {
  private static final int MAX_STEPS = 60;

  private final KeyFault fault;

  KeyScenario(KeyFault fault) {
    this.fault = fault;
  }

  @Override
  public String name() {
    return "keys";
  }

  @Override
  public Arbitrary<List<KeyStep>> sequences() {
    Arbitrary<Integer> key = Arbitraries.integers().between(0, KeyRun.KEYS - 1);
    Arbitrary<Boolean> flag = Arbitraries.of(false, true);
    Arbitrary<KeyStep> step =
        Arbitraries.frequencyOf(
            Tuple.of(6, key.map(KeyStep.SendRequest::new)),
            Tuple.of(
                6,
                Combinators.combine(key, Arbitraries.of(KeyStep.AttemptResult.values()))
                    .as(KeyStep.FinishAttempt::new)),
            Tuple.of(1, Combinators.combine(key, flag).as(KeyStep.ReplaceKey::new)),
            Tuple.of(1, Arbitraries.integers().between(1, 4).map(KeyStep.AdvanceEpochs::new)),
            Tuple.of(1, Arbitraries.just(new KeyStep.RestartHome())));
    return step.list().ofMaxSize(MAX_STEPS);
  }

  @Override
  public Optional<String> run(List<KeyStep> steps) {
    KeyRun run = new KeyRun(fault);
    for (KeyStep step : steps) {
      run.apply(step);
      if (run.violation().isPresent()) {
        break;
      }
    }
    return run.violation();
  }
}
