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
 * Holds what callers were told against what the endpoints ran.
 *
 * @param runTwice non-idempotent requests that ran more than once
 * @param notRunThatRan requests that were reported as not run, and ran
 * @param answeredWithoutRun non-idempotent requests that were answered, and never ran
 * @param wrongAnswers answers that were cut short or belonged to another request
 * @param endpointsAboveSlots endpoints that had more requests than slots at once
 * @param missing requests whose end is not known to the load tool
 */
public record OutcomeCheck(
    List<String> duplicateRuns,
    List<String> notRunButExecuted,
    List<String> responseWithoutRun,
    long wrongResponses,
    List<String> endpointsAboveSlots,
    long withoutOutcome) {
  /** Copies the lists. */
  public OutcomeCheck {
    duplicateRuns = ImmutableList.copyOf(duplicateRuns);
    notRunButExecuted = ImmutableList.copyOf(notRunButExecuted);
    responseWithoutRun = ImmutableList.copyOf(responseWithoutRun);
    endpointsAboveSlots = ImmutableList.copyOf(endpointsAboveSlots);
  }

  /** Returns the verdict on a load. */
  public static OutcomeCheck of(LoadSummary load, List<EndpointRecord> records) {
    Map<String, Long> runs = new HashMap<>();
    records.forEach(
        record ->
            record.getRunsByToken().forEach((token, count) -> runs.merge(token, count, Long::sum)));
    Set<String> nonIdempotent = ImmutableSet.copyOf(load.getNonIdempotentTokens());
    long ended = load.getCalls().stream().mapToLong(LoadCallSummary::getRequests).sum();
    return new OutcomeCheck(
        nonIdempotent.stream().filter(token -> runs.getOrDefault(token, 0L) > 1).toList(),
        load.getNotRunTokens().stream().filter(runs::containsKey).toList(),
        load.getAnsweredTokens().stream().filter(token -> !runs.containsKey(token)).toList(),
        load.getCalls().stream().mapToLong(LoadCallSummary::getWrongAnswers).sum(),
        records.stream()
            .filter(record -> record.getMaxSlotsInUse() > record.getSlots())
            .map(EndpointRecord::getEndpoint)
            .toList(),
        load.getPlanned() - ended);
  }

  /** Returns whether every promise was kept. */
  public boolean isPassed() {
    return duplicateRuns.isEmpty()
        && notRunButExecuted.isEmpty()
        && responseWithoutRun.isEmpty()
        && wrongResponses == 0
        && endpointsAboveSlots.isEmpty()
        && withoutOutcome == 0;
  }
}
