package org.mustardstage.core.fuzz;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Fuzzes idempotency keys and retries: a non-idempotent request must run at most once, and a caller
 * may be told that it did not run only if so. Each seeded fault must be found too, which shows that
 * the fuzzer can find faults.
 */
class KeyFuzzTest {
  private static final long SEED = 40_000;
  private static final int RUNS = 1_000;
  private static final KeyScenario SOUND = new KeyScenario(KeyFault.NONE);

  @Test
  void keepsItsInvariants() {
    assertThat(Fuzzer.search(SOUND, SEED, RUNS), is(Optional.empty()));
  }

  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
  void findsSeededFault(KeyFault fault) {
    SeededFaults.assertFound(fault, new KeyScenario(fault), SOUND, SEED, RUNS);
  }
}
