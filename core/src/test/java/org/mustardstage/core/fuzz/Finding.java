package org.mustardstage.core.fuzz;

import java.util.List;
import java.util.stream.Collectors;

/**
 * A sequence of steps that breaks a promise.
 *
 * @param scenario the name of the scenario
 * @param seed the seed that generates the sequence
 * @param runs how many sequences were run until this one
 * @param violation the promise that is broken by the shortest sequence found
 * @param steps the shortest sequence found
 */
record Finding(String scenario, long seed, int runs, String violation, List<?> steps) {
  /** Returns the command that finds this again. */
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
