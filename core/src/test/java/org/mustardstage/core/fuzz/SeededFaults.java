package org.mustardstage.core.fuzz;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.OptionalInt;

/**
 * Checks that the fuzzer finds a seeded fault, and prints the number of sequences that it ran until
 * then.
 */
final class SeededFaults {
  private SeededFaults() {}

  /** Fails unless the fault is found within {@code maxRuns} sequences. */
  static <S> void assertFound(
      Enum<?> fault, Scenario<S> faulty, Scenario<S> sound, long seed, int maxRuns) {
    OptionalInt runs = Fuzzer.runsToFind(faulty, sound, seed, maxRuns);
    String runsText = runs.isPresent() ? Integer.toString(runs.getAsInt()) : "not found";
    System.out.println("| " + faulty.name() + " | " + fault + " | " + runsText + " |");
    assertThat(fault + " is found", runs.isPresent(), is(true));
  }
}
