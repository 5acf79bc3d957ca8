package org.mustardstage.core.fuzz;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.mustardstage.core.permit.PermitFault;

/** Runs the fuzzers with other seeds for a given time. Started by {@code scripts/soak}. */
@EnabledIfSystemProperty(named = "soak.seed", matches = "\\d+")
class SoakTest {
  private static final String ALL_SCENARIOS = "all";
  private static final List<Scenario<?>> SCENARIOS =
      List.of(
          new PermitScenario(PermitFault.NONE),
          new MoveShareScenario(MoveShareFault.NONE),
          new KeyScenario(KeyFault.NONE));

  @Test
  void keepsAllInvariants() {
    long endNanos =
        System.nanoTime() + Duration.ofMinutes(Long.getLong("soak.minutes", 1)).toNanos();
    long maxRuns = Long.getLong("soak.runs", Long.MAX_VALUE);
    long seed = Long.getLong("soak.seed");
    long runs = 0;
    while (runs < maxRuns && System.nanoTime() < endNanos) {
      for (Scenario<?> scenario : selectedScenarios()) {
        assertThat(Fuzzer.search(scenario, seed + runs, 1), is(Optional.empty()));
      }
      runs++;
    }
    System.out.println("soak: " + runs + " sequences of each scenario from seed " + seed);
  }

  private static List<Scenario<?>> selectedScenarios() {
    String name = System.getProperty("soak.scenario", ALL_SCENARIOS);
    return SCENARIOS.stream()
        .filter(scenario -> name.equals(ALL_SCENARIOS) || name.equals(scenario.name()))
        .toList();
  }
}
