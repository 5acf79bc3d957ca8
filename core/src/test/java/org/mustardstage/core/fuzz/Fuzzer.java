package org.mustardstage.core.fuzz;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import net.jqwik.api.Shrinkable;
import net.jqwik.api.sessions.JqwikSession;

/**
 * Searches a scenario for a sequence of steps that violates an invariant, and shrinks the sequence
 * found.
 */
final class Fuzzer {
  private static final int GENERATION_SIZE = 1_000;
  private static final int MAX_SHRINK_RUNS = 400;

  private Fuzzer() {}

  /**
   * Returns the first finding among {@code runs} sequences, whose seeds count up from {@code
   * firstSeed}.
   */
  static <S> Optional<Finding> search(Scenario<S> scenario, long firstSeed, int runs) {
    for (int run = 0; run < runs; run++) {
      Optional<Finding> finding = runOne(scenario, firstSeed + run, run + 1);
      if (finding.isPresent()) {
        return finding;
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the number of sequences run until one violates an invariant in {@code faulty} and none
   * in {@code sound}, which is the same scenario without the seeded fault; empty if none of {@code
   * runs} sequences does.
   */
  static <S> OptionalInt runsToFind(
      Scenario<S> faulty, Scenario<S> sound, long firstSeed, int runs) {
    for (int run = 0; run < runs; run++) {
      List<S> steps = generate(faulty, firstSeed + run).value();
      if (faulty.run(steps).isPresent() && sound.run(steps).isEmpty()) {
        return OptionalInt.of(run + 1);
      }
    }
    return OptionalInt.empty();
  }

  private static <S> Shrinkable<List<S>> generate(Scenario<S> scenario, long seed) {
    if (!JqwikSession.isActive()) {
      JqwikSession.start();
    }
    return scenario.sequences().generator(GENERATION_SIZE).next(new Random(seed));
  }

  private static <S> Optional<Finding> runOne(Scenario<S> scenario, long seed, int runs) {
    Shrinkable<List<S>> sequence = generate(scenario, seed);
    if (scenario.run(sequence.value()).isEmpty()) {
      return Optional.empty();
    }
    List<S> shortest = shrink(scenario, sequence).value();
    String violation = scenario.run(shortest).orElseThrow();
    return Optional.of(new Finding(scenario.name(), seed, runs, violation, shortest));
  }

  private static <S> Shrinkable<List<S>> shrink(
      Scenario<S> scenario, Shrinkable<List<S>> sequence) {
    Shrinkable<List<S>> shortest = sequence;
    int[] runsLeft = {MAX_SHRINK_RUNS};
    while (true) {
      Optional<Shrinkable<List<S>>> shorter =
          shortest
              .shrink()
              .takeWhile(candidate -> runsLeft[0]-- > 0)
              .filter(candidate -> scenario.run(candidate.value()).isPresent())
              .findFirst();
      if (shorter.isEmpty()) {
        return shortest;
      }
      shortest = shorter.orElseThrow();
    }
  }
}
