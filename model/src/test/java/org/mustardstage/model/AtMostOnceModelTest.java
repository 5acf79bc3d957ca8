package org.mustardstage.model;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that a request with an idempotency key runs at most once and that a caller is told the
 * truth, and that TLC finds a violation as soon as one guard of the protocol is missing.
 */
class AtMostOnceModelTest {
  private static final String SPECIFICATION = "AtMostOnce";

  @Test
  void satisfiesAllProperties() {
    TlcResult result = Tlc.check(SPECIFICATION, SPECIFICATION);
    TlcReport.printHeld(SPECIFICATION, result);
    assertThat(result.output(), result.holds(), is(true));
    assertThat(result.distinctStates(), is(448L));
  }

  @ParameterizedTest
  @CsvSource({
    "HomeIsIncarnation, OneRun",
    "JoinsRunning, OneRun",
    "RemembersEnd, OneRun",
    "RefusesForgotten, OneRun",
    "TimeoutIsUnknown, NotRunIsTrue",
    "RetryNeedsRefusal, OneRun",
  })
  void violatesPropertyWithoutGuard(String guard, String property) {
    Tlc.Constant constant = new Tlc.Constant(guard, "FALSE");
    TlcResult result = Tlc.checkWithConstant(SPECIFICATION, SPECIFICATION, constant, property);
    TlcReport.printViolated(SPECIFICATION, constant, result);
    assertThat(result.output(), result.violatedProperty(), is(Optional.of(property)));
  }
}
