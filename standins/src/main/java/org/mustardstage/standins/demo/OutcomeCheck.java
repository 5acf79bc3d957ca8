package org.mustardstage.standins.demo;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mustardstage.schema.generated.EndpointRecord;
import org.mustardstage.schema.generated.LoadCallSummary;
import org.mustardstage.schema.generated.LoadSummary;

/**
 * Result of comparing the outcomes that callers received with the runs that endpoints recorded.
 *
 * @param duplicateRuns tokens of non-idempotent requests that ran more than once
 * @param notRunButExecuted tokens of requests that were reported as not run but did run
 * @param responsesWithoutRun tokens of non-idempotent requests that got a response but never ran
 * @param wrongResponses number of responses that were truncated or belonged to another request
 * @param endpointsAboveSlots endpoints that had more concurrent requests than slots
 * @param withoutOutcome number of planned requests for which the load tool counted no outcome
 */
public record OutcomeCheck(
    List<String> duplicateRuns,
    List<String> notRunButExecuted,
    List<String> responsesWithoutRun,
    long wrongResponses,
    List<String> endpointsAboveSlots,
    long withoutOutcome) {
  /** Creates a result with immutable copies of the lists. */
  public OutcomeCheck {
    duplicateRuns = ImmutableList.copyOf(duplicateRuns);
    notRunButExecuted = ImmutableList.copyOf(notRunButExecuted);
    responsesWithoutRun = ImmutableList.copyOf(responsesWithoutRun);
    endpointsAboveSlots = ImmutableList.copyOf(endpointsAboveSlots);
  }

  /** Compares the summary of the load tool with the records of all endpoints. */
  public static OutcomeCheck of(LoadSummary load, List<EndpointRecord> records) {
    Map<String, Long> runs = new HashMap<>();
    records.forEach(
        record ->
            record.getRunsByToken().forEach((token, count) -> runs.merge(token, count, Long::sum)));
    Set<String> nonIdempotent = ImmutableSet.copyOf(load.getNonIdempotentTokens());
    long withOutcome = load.getCalls().stream().mapToLong(LoadCallSummary::getRequests).sum();
    return new OutcomeCheck(
        nonIdempotent.stream().filter(token -> runs.getOrDefault(token, 0L) > 1).toList(),
        load.getNotRunTokens().stream().filter(runs::containsKey).toList(),
        load.getAnsweredTokens().stream().filter(token -> !runs.containsKey(token)).toList(),
        load.getCalls().stream().mapToLong(LoadCallSummary::getWrongAnswers).sum(),
        records.stream()
            .filter(record -> record.getMaxSlotsInUse() > record.getSlots())
            .map(EndpointRecord::getEndpoint)
            .toList(),
        load.getPlanned() - withOutcome);
  }

  /** Returns whether no violation was found. */
  public boolean hasPassed() {
    return duplicateRuns.isEmpty()
        && notRunButExecuted.isEmpty()
        && responsesWithoutRun.isEmpty()
        && wrongResponses == 0
        && endpointsAboveSlots.isEmpty()
        && withoutOutcome == 0;
  }
}
