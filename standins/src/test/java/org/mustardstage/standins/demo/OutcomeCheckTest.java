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

/**
 * Guards against a check that passes although a request ran twice, ran after it was reported as not
 * run, or got a response without a run.
 */
class OutcomeCheckTest {
  @Test
  void passesWhenOutcomesMatchRuns() {
    assertThat(
        OutcomeCheck.of(load(), List.of(record("desk-1", "booked"))).hasPassed(), equalTo(true));
  }

  @Test
  void reportsNonIdempotentRequestThatRanAtTwoEndpoints() {
    OutcomeCheck check =
        OutcomeCheck.of(load(), List.of(record("desk-1", "booked"), record("desk-2", "booked")));

    assertThat(check.duplicateRuns(), contains("booked"));
    assertThat(check.hasPassed(), equalTo(false));
  }

  @Test
  void reportsRunOfRequestReportedAsNotRun() {
    OutcomeCheck check =
        OutcomeCheck.of(load(), List.of(record("desk-1", "booked"), record("desk-2", "refused")));

    assertThat(check.notRunButExecuted(), contains("refused"));
    assertThat(check.hasPassed(), equalTo(false));
  }

  @Test
  void reportsResponseWithoutRun() {
    OutcomeCheck check = OutcomeCheck.of(load(), List.of());

    assertThat(check.responsesWithoutRun(), contains("booked"));
    assertThat(check.hasPassed(), equalTo(false));
  }

  @Test
  void reportsWrongResponsesAndRequestsWithoutOutcome() {
    LoadSummary load = load().withPlanned(3L);
    load.getCalls().getFirst().setWrongAnswers(1L);

    OutcomeCheck check = OutcomeCheck.of(load, List.of(record("desk-1", "booked")));
    assertThat(check.wrongResponses(), equalTo(1L));
    assertThat(check.withoutOutcome(), equalTo(1L));
    assertThat(check.hasPassed(), equalTo(false));
  }

  @Test
  void reportsEndpointsWithMoreRequestsThanSlots() {
    EndpointRecord overloaded = record("desk-1", "booked").withMaxSlotsInUse(10L);

    OutcomeCheck check = OutcomeCheck.of(load(), List.of(overloaded));
    assertThat(check.endpointsAboveSlots(), contains("desk-1"));
    assertThat(check.hasPassed(), equalTo(false));
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
