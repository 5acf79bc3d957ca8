package org.mustardstage.core.fuzz;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Fuzzes the moved share of a planned move on several VMs: the moved attempts must never exceed the
 * cap. Each seeded fault must be found too.
 */
class MoveShareFuzzTest {
  private static final long SEED = 30_000;
  private static final int RUNS = 1_000;
  private static final MoveShareScenario SOUND = new MoveShareScenario(MoveShareFault.NONE);

  @Test
  void keepsItsInvariants() {
    assertThat(Fuzzer.search(SOUND, SEED, RUNS), is(Optional.empty()));
  }

  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
  void findsSeededFault(MoveShareFault fault) {
    SeededFaults.assertFound(fault, new MoveShareScenario(fault), SOUND, SEED, RUNS);
  }
}
