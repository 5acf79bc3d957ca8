package org.mustardstage.standins.load;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.mustardstage.schema.generated.LoadCall;
import org.mustardstage.schema.generated.LoadCallSummary;

/** Counts the outcomes of one kind of call, and measures latency from when requests were due. */
final class CallStatistics {
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double PERCENTILE_50 = 50;
  private static final double PERCENTILE_99 = 99;
  private static final double PERCENTILE_99_9 = 99.9;

  private final Histogram latencyMicros = new Histogram(SIGNIFICANT_DIGITS);
  private final Map<String, Long> errors = new TreeMap<>();
  private long requests;
  private long answered;
  private long notRun;
  private long unknown;
  private long failedByEndpoint;
  private long wrongAnswers;
  private long attempts;

  void recordOutcome(RequestOutcome outcome, int requestAttempts, long latencyNanos) {
    requests++;
    attempts += requestAttempts;
    switch (outcome) {
      case RequestOutcome.Responded(boolean belongs) -> {
        answered++;
        wrongAnswers += belongs ? 0 : 1;
        latencyMicros.recordValue(TimeUnit.NANOSECONDS.toMicros(latencyNanos));
      }
      case RequestOutcome.FailedByEndpoint(int status) -> {
        failedByEndpoint++;
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
        .withAnswered(answered)
        .withNotRun(notRun)
        .withOutcomeUnknown(unknown)
        .withFailedByEndpoint(failedByEndpoint)
        .withWrongAnswers(wrongAnswers)
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
