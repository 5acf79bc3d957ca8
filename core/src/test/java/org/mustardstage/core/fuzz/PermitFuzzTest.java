package org.mustardstage.core.fuzz;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.mustardstage.core.permit.PermitFault;

/**
 * Fuzzes permits under load, crashes, partitions and lost messages: an endpoint must never run more
 * requests than it has slots, and no permit may be lost for good. Each seeded fault must be found
 * too.
 */
class PermitFuzzTest {
  private static final long SEED = 20_000;
  private static final int RUNS = 400;
  private static final int FAULT_RUNS = 1_000;
  private static final PermitScenario SOUND = new PermitScenario(PermitFault.NONE);

  @Test
  void keepsItsInvariants() {
    assertThat(Fuzzer.search(SOUND, SEED, RUNS), is(Optional.empty()));
  }

  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
  void findsSeededFault(PermitFault fault) {
    SeededFaults.assertFound(fault, new PermitScenario(fault), SOUND, SEED, FAULT_RUNS);
  }

  /**
   * Found by the fuzzer with seed 20262: a handover contained a permit that the older manifest of
   * the receiving VM did not have yet.
   */
  @Test
  void newPermitOfAGrownLimitIsUsableAfterAHandoverFromAVmWithANewerManifest() {
    List<PermitStep> steps =
        List.of(
            new PermitStep.SendLoad(50, 2, 0, 50),
            new PermitStep.Restart(0),
            new PermitStep.Partition(2),
            new PermitStep.SendLoad(169, 8, 34, 57),
            new PermitStep.Isolate(0, true),
            new PermitStep.SendLoad(54, 9, 9, 56),
            new PermitStep.SendLoad(188, 15, 12, 70),
            new PermitStep.Restart(3),
            new PermitStep.SendLoad(129, 6, 12, 146),
            new PermitStep.Isolate(1, true),
            new PermitStep.LoseStoreResponses(2),
            new PermitStep.MessageFaults(14, 15, 56),
            new PermitStep.SendLoad(63, 11, 8, 67),
            new PermitStep.ResizeLimit(1, 1),
            new PermitStep.Restart(2),
            new PermitStep.MessageFaults(11, 20, 124),
            new PermitStep.SendLoad(276, 15, 1, 64),
            new PermitStep.ResizeLimit(0, 5));
    assertThat(SOUND.run(steps), is(Optional.empty()));
  }
}
