package org.mustardstage.model;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that a permit never has two uses at the same time and becomes usable again, despite
 * crashes, pauses, partitions and late messages, and that TLC finds a violation as soon as one
 * guard of the protocol is missing.
 */
class PermitsModelTest {
  private static final String SPECIFICATION = "Permits";

  @ParameterizedTest
  @CsvSource({
    "PermitsLeases, 2269",
    "PermitsReturns, 410",
    "PermitsTakeover, 31140",
    "PermitsPartition, 11309",
    "PermitsHandover, 7792",
    "PermitsList, 13770",
    "PermitsManifest, 1330",
    "PermitsLiveness, 11309",
  })
  void satisfiesAllProperties(String configuration, long distinctStates) {
    TlcResult result = Tlc.check(SPECIFICATION, configuration);
    TlcReport.printHeld(configuration, result);
    assertThat(result.output(), result.holds(), is(true));
    assertThat(result.distinctStates(), is(distinctStates));
  }

  @ParameterizedTest
  @CsvSource({
    "PermitsLeases, CheckLeaseEnd, OneUse",
    "PermitsLeases, CountFromRequest, OneUse",
    "PermitsLeases, LenderWaits, OneUse",
    "PermitsLeases, EndIsKnown, OneUse",
    "PermitsLeases, SubleaseBounded, OneUse",
    "PermitsReturns, ReturnNamesLease, OneUse",
    "PermitsTakeover, WaitAfterTakeover, OneUse",
    "PermitsPartition, OwnerIsIncarnation, OneUse",
    "PermitsPartition, TakeoverNeedsProof, OneUse",
    "PermitsHandover, HandoverCarriesLeases, OneUse",
    "PermitsList, DropNeedsSilence, OneUse",
    "PermitsPartition, SilenceCoversLag, OneUse",
    "PermitsList, ConfirmAfterPause, OneUse",
    "PermitsList, ConfirmByWrite, OneUse",
    "PermitsList, ConfirmChecksRevision, OneUse",
    "PermitsList, StopWhenReplaced, OneUse",
    "PermitsManifest, ShrinkKeepsLeases, OneUse",
    "PermitsPartition, ClaimNeedsListing, OneUse",
    "PermitsLiveness, DropProves, UsableAgain"
  })
  void violatesPropertyWithoutGuard(String configuration, String guard, String property) {
    assertViolates(configuration, new Tlc.Constant(guard, "FALSE"), property);
  }

  /** Breaks, one at a time, the assumptions that the protocol makes about its environment. */
  @ParameterizedTest
  @CsvSource({
    "PermitsLeases, Margin, 1, OneUse",
    "PermitsList, MaxCuts, 1, OneUse",
  })
  void failsWhenAssumptionIsBroken(
      String configuration, String constant, String value, String property) {
    assertViolates(configuration, new Tlc.Constant(constant, value), property);
  }

  private static void assertViolates(String configuration, Tlc.Constant constant, String property) {
    TlcResult result = Tlc.checkWithConstant(SPECIFICATION, configuration, constant, property);
    TlcReport.printViolated(configuration, constant, result);
    assertThat(result.output(), result.violatedProperty(), is(Optional.of(property)));
  }
}
