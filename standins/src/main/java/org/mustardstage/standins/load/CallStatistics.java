package org.mustardstage.standins.load;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.mustardstage.schema.generated.LoadCall;
import org.mustardstage.schema.generated.LoadCallSummary;

/**
 * Counts the outcomes of one call of the load plan. Latency is measured from the due time of a
 * request, so that it includes delays of the load tool itself.
 */
final class CallStatistics {
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double PERCENTILE_50 = 50;
  private static final double PERCENTILE_99 = 99;
  private static final double PERCENTILE_99_9 = 99.9;

  private final Histogram latencyMicros = new Histogram(SIGNIFICANT_DIGITS);
  private final Map<String, Long> errors = new TreeMap<>();
  private long requests;
  private long responses;
  private long notRun;
  private long unknown;
  private long endpointErrors;
  private long wrongResponses;
  private long attempts;

  void recordOutcome(RequestOutcome outcome, int requestAttempts, long latencyNanos) {
    requests++;
    attempts += requestAttempts;
    switch (outcome) {
      case RequestOutcome.Responded(boolean bodyMatches) -> {
        responses++;
        wrongResponses += bodyMatches ? 0 : 1;
        latencyMicros.recordValue(TimeUnit.NANOSECONDS.toMicros(latencyNanos));
      }
      case RequestOutcome.FailedByEndpoint(int status) -> {
        endpointErrors++;
        countError("status-" + status);
      }
      case RequestOutcome.NotRun(String code) -> {
        notRun++;
        countError(code);
      }
      case RequestOutcome.Unknown(String code) -> {
        unknown++;
        countError(code);
      }
    }
  }

  LoadCallSummary toMessage(LoadCall call) {
    return new LoadCallSummary()
        .withService(call.getService())
        .withCall(call.getCall())
        .withRequests(requests)
        .withAnswered(responses)
        .withNotRun(notRun)
        .withOutcomeUnknown(unknown)
        .withFailedByEndpoint(endpointErrors)
        .withWrongAnswers(wrongResponses)
        .withAttempts(attempts)
        .withP50Micros(latencyMicros.getValueAtPercentile(PERCENTILE_50))
        .withP99Micros(latencyMicros.getValueAtPercentile(PERCENTILE_99))
        .withP999Micros(latencyMicros.getValueAtPercentile(PERCENTILE_99_9))
        .withMaxMicros(latencyMicros.getMaxValue())
        .withErrors(errors);
  }

  private void countError(String code) {
    errors.merge(code, 1L, Long::sum);
  }
}
