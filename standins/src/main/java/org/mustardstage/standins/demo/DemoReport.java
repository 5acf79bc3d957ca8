package org.mustardstage.standins.demo;

import java.io.PrintStream;
import java.util.List;
import org.mustardstage.schema.generated.EndpointRecord;
import org.mustardstage.schema.generated.LoadCallSummary;
import org.mustardstage.schema.generated.LoadSummary;

/** Prints the outcomes by call, the counters by endpoint and the results of the checks. */
final class DemoReport {
  private static final double MICROS_PER_MILLI = 1_000;

  private final PrintStream out;

  DemoReport(PrintStream out) {
    this.out = out;
  }

  void print(LoadSummary load, List<EndpointRecord> records, OutcomeCheck check) {
    out.printf(
        "%n%-28s %8s %8s %8s %8s %8s %9s %9s %9s%n",
        "CALL",
        "REQUESTS",
        "ANSWERED",
        "NOT RUN",
        "UNKNOWN",
        "FAILED",
        "P50 ms",
        "P99 ms",
        "P99.9 ms");
    load.getCalls().forEach(this::printCall);
    out.printf(
        "%n%-28s %10s %6s %10s %8s %9s%n",
        "ENDPOINT", "MAX IN USE", "SLOTS", "COMPLETED", "REFUSED", "CANCELLED");
    records.forEach(this::printEndpoint);
    out.println();
    printCheck("non-idempotent requests run more than once", check.duplicateRuns().size());
    printCheck("requests reported as not run that did run", check.notRunButExecuted().size());
    printCheck("requests with a response that never ran", check.responsesWithoutRun().size());
    printCheck("wrong or truncated responses", check.wrongResponses());
    printCheck("endpoints with more requests than slots", check.endpointsAboveSlots().size());
    printCheck("requests without an outcome", check.withoutOutcome());
  }

  private void printCheck(String description, long violations) {
    out.printf("%-45s %d%s%n", description, violations, violations == 0 ? "" : "   FAILED");
  }

  private void printCall(LoadCallSummary call) {
    out.printf(
        "%-28s %8d %8d %8d %8d %8d %9.1f %9.1f %9.1f  %s%n",
        call.getCall(),
        call.getRequests(),
        call.getAnswered(),
        call.getNotRun(),
        call.getOutcomeUnknown(),
        call.getFailedByEndpoint(),
        call.getP50Micros() / MICROS_PER_MILLI,
        call.getP99Micros() / MICROS_PER_MILLI,
        call.getP999Micros() / MICROS_PER_MILLI,
        call.getErrors().isEmpty() ? "" : call.getErrors());
  }

  private void printEndpoint(EndpointRecord endpoint) {
    out.printf(
        "%-28s %10d %6d %10d %8d %9d%n",
        endpoint.getEndpoint(),
        endpoint.getMaxSlotsInUse(),
        endpoint.getSlots(),
        endpoint.getCompleted(),
        endpoint.getRefused(),
        endpoint.getCancelled());
  }
}
