package org.mustardstage.standins.demo;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.mustardstage.schema.generated.EndpointRecord;
import org.mustardstage.schema.generated.LoadCallSummary;
import org.mustardstage.schema.generated.LoadSummary;

class OutcomeCheckTest {
  @Test
  void acceptsWhatKeptEveryPromise() {
    assertThat(OutcomeCheck.of(load(), List.of(record("desk-1", "booked"))).isPassed(), equalTo(true));
  }

  @Test
  void findsBookingsThatRanAtTwoEndpoints() {
    OutcomeCheck verdict =
        OutcomeCheck.of(load(), List.of(record("desk-1", "booked"), record("desk-2", "booked")));

    assertThat(verdict.duplicateRuns(), contains("booked"));
    assertThat(verdict.isPassed(), equalTo(false));
  }

  @Test
  void findsRunsThatWereReportedAsNotRun() {
    OutcomeCheck verdict =
        OutcomeCheck.of(load(), List.of(record("desk-1", "booked"), record("desk-2", "refused")));

    assertThat(verdict.notRunButExecuted(), contains("refused"));
    assertThat(verdict.isPassed(), equalTo(false));
  }

  @Test
  void findsAnswersWithoutRun() {
    OutcomeCheck verdict = OutcomeCheck.of(load(), List.of());

    assertThat(verdict.responseWithoutRun(), contains("booked"));
    assertThat(verdict.isPassed(), equalTo(false));
  }

  @Test
  void findsWrongAnswersAndMissingRequests() {
    LoadSummary load = load().withPlanned(3L);
    load.getCalls().getFirst().setWrongAnswers(1L);

    OutcomeCheck verdict = OutcomeCheck.of(load, List.of(record("desk-1", "booked")));
    assertThat(verdict.wrongResponses(), equalTo(1L));
    assertThat(verdict.withoutOutcome(), equalTo(1L));
    assertThat(verdict.isPassed(), equalTo(false));
  }

  @Test
  void findsEndpointsAboveTheirSlots() {
    EndpointRecord crowded = record("desk-1", "booked").withMaxSlotsInUse(10L);

    OutcomeCheck verdict = OutcomeCheck.of(load(), List.of(crowded));
    assertThat(verdict.endpointsAboveSlots(), contains("desk-1"));
    assertThat(verdict.isPassed(), equalTo(false));
  }

  private static LoadSummary load() {
    return new LoadSummary()
        .withPlanned(2L)
        .withCalls(List.of(new LoadCallSummary().withRequests(2L).withWrongAnswers(0L)))
        .withNonIdempotentTokens(List.of("booked", "refused"))
        .withAnsweredTokens(List.of("booked"))
        .withNotRunTokens(List.of("refused"));
  }

  private static EndpointRecord record(String endpoint, String token) {
    return new EndpointRecord()
        .withEndpoint(endpoint)
        .withSlots(9L)
        .withMaxSlotsInUse(9L)
        .withRunsByToken(Map.of(token, 1L));
  }
}
