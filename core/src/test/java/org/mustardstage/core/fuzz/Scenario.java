package org.mustardstage.core.fuzz;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitrary;

/**
 * Something to be fuzzed: what may happen to it, and an oracle.
 *
 * @param <S> a step; its text is what a replay shows
 */
interface Scenario<S> {
  /** Returns the name by which a replay finds the scenario. */
  String name();

  /** Returns the sequences of steps to try. */
  Arbitrary<List<S>> sequences();

  /** Returns the promise that a sequence breaks; empty if it keeps all. */
  Optional<String> run(List<S> steps);
}
