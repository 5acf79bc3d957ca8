package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mustardstage.core.placement.AttemptResult.LoadReport;

/** Guards against load reports that are dropped whole, or believed although they are absurd. */
class EndpointReportTest {
  @Test
  void fourthFigureIsTheDurationOfWork() {
    assertThat(
        EndpointReport.parseLoad("4, 2,6,250"),
        is(Optional.of(new LoadReport(4, 2, 6, OptionalDouble.of(2.5)))));
  }

  @ParameterizedTest
  @ValueSource(strings = {"4,2,6", "4,2,6,", "4,2,6,x", "4,2,6,-3", "4,2,6,0", "4,2,6,NaN"})
  void countsAreKeptWithoutAReadableFourthFigure(String text) {
    assertThat(EndpointReport.parseLoad(text), is(Optional.of(new LoadReport(4, 2, 6))));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "4,2", "4,2,6,100,1", "-4,2,6", "4,2,99999999", "4,x,6", "4,2,1e3"})
  void absurdCountsAreIgnored(String text) {
    assertThat(EndpointReport.parseLoad(text), is(Optional.empty()));
  }
}
