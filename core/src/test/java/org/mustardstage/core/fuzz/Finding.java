package org.mustardstage.core.fuzz;

import java.util.List;
import java.util.stream.Collectors;

/**
 * A sequence of steps that violates an invariant.
 *
 * @param scenario the name of the scenario
 * @param seed the seed that generates the sequence
 * @param runs the number of sequences that were run, this one included
 * @param violation the invariant that the shortest sequence found violates
 * @param steps the shortest sequence found
 */
record Finding(String scenario, long seed, int runs, String violation, List<?> steps) {
  /** Returns the command that runs this sequence again. */
  String replayCommand() {
    return "scripts/soak --scenario " + scenario + " --seed " + seed + " --runs 1";
  }

  @Override
  public String toString() {
    return scenario
        + ": "
        + violation
        + steps.stream().map(step -> "\n  " + step).collect(Collectors.joining())
        + "\nreplay: "
        + replayCommand();
  }
}
