package org.mustardstage.standins.load;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mustardstage.schema.generated.LoadCall;
import org.mustardstage.schema.generated.LoadPlan;
import org.mustardstage.schema.generated.LoadSummary;

/** Records the outcome of every request and builds the summary. */
final class LoadRecorder {
  private final Map<LoadCall, CallStatistics> statistics = new LinkedHashMap<>();
  private final List<String> notRunTokens = new ArrayList<>();
  private final List<String> nonIdempotentTokens = new ArrayList<>();
  private final List<String> answeredTokens = new ArrayList<>();
  private final List<String> unknownTokens = new ArrayList<>();
  private long plannedRequests;

  LoadRecorder(LoadPlan plan) {
    plan.getCalls().forEach(call -> statistics.put(call, new CallStatistics()));
  }

  void recordPlanned(PlannedRequest request) {
    plannedRequests++;
    if (!request.call().idempotent()) {
      nonIdempotentTokens.add(request.token());
    }
  }

  void recordOutcome(
      LoadCall call,
      PlannedRequest request,
      RequestOutcome outcome,
      int attempts,
      long latencyNanos) {
    statistics.get(call).recordOutcome(outcome, attempts, latencyNanos);
    switch (outcome) {
      case RequestOutcome.Responded responded -> {
        if (!request.call().idempotent()) {
          answeredTokens.add(request.token());
        }
      }
      case RequestOutcome.NotRun notRun -> notRunTokens.add(request.token());
      case RequestOutcome.Unknown unknown -> unknownTokens.add(request.token());
      case RequestOutcome.FailedByEndpoint failed -> {}
    }
  }

  LoadSummary toMessage() {
    return new LoadSummary()
        .withPlanned(plannedRequests)
        .withCalls(
            statistics.entrySet().stream()
                .map(entry -> entry.getValue().toMessage(entry.getKey()))
                .toList())
        .withNotRunTokens(notRunTokens)
        .withNonIdempotentTokens(nonIdempotentTokens)
        .withAnsweredTokens(answeredTokens)
        .withUnknownTokens(unknownTokens);
  }
}
