package org.mustardstage.core.fuzz;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.OptionalInt;

/** Checks that a fuzzer finds a seeded fault, and prints how many sequences it took. */
final class SeededFaults {
  private SeededFaults() {}

  /** Fails unless the fault is found within the budget. */
  static <S> void assertFound(
      Enum<?> fault, Scenario<S> faulty, Scenario<S> sound, long seed, int budget) {
    OptionalInt runs = Fuzzer.runsToFind(faulty, sound, seed, budget);
    String text = runs.isPresent() ? Integer.toString(runs.getAsInt()) : "not found";
    System.out.println("| " + faulty.name() + " | " + fault + " | " + text + " |");
    assertThat(fault + " is found", runs.isPresent(), is(true));
  }
}
