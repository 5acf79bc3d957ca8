package org.mustardstage.core.fuzz;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitrary;

/**
 * A system under fuzzing: the steps that may happen to it, and an oracle that checks its
 * invariants.
 *
 * @param <S> the type of a step; its string form is shown for a finding
 */
interface Scenario<S> {
  /** Returns the name that selects the scenario in a replay. */
  String name();

  /** Returns the generator of step sequences. */
  Arbitrary<List<S>> sequences();

  /** Runs {@code steps} and returns the invariant that they violate; empty if they violate none. */
  Optional<String> run(List<S> steps);
}
