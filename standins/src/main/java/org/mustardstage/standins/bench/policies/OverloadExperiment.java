package org.mustardstage.standins.bench.policies;

import java.util.List;
import org.mustardstage.core.manifest.Priority;

/** Measures goodput and latency over the offered load, and the time of recovery from a burst. */
final class OverloadExperiment {
  private static final double[] RATIOS = {0.5, 0.8, 0.95, 1.0, 1.2, 1.5, 2.0, 3.0};
  private static final double TARGET_GOODPUT = 0.95;
  private static final double TARGET_RATIO = 2.0;
  private static final long TARGET_RECOVERY_MILLIS = 5_000;
  private static final long WARM_UP_MILLIS = 3_000;
  private static final long END_MILLIS = 12_000;
  private static final LoadShape BURST = new LoadShape(0.6, 3, 5_000, 10_000, 30_000);
  private static final double RECOVERED_FRACTION = 0.95;

  private final MarkdownReport report;
  private final PlotWriter plotWriter;
  private final long seed;

  OverloadExperiment(MarkdownReport report, PlotWriter plotWriter, long seed) {
    this.report = report;
    this.plotWriter = plotWriter;
    this.seed = seed;
  }

  void run() {
    sweepLoad(ServiceModel.CREDIT_LEDGER);
    sweepLoad(ServiceModel.ORDER_DESK);
    measureRecovery(ServiceModel.CREDIT_LEDGER);
    measureRecovery(ServiceModel.ORDER_DESK);
  }

  private void sweepLoad(ServiceModel service) {
    report.startSection("Overload of the " + service.name());
    report.printHeader(
        "policy",
        "offered",
        "goodput",
        "interactive p50 ms",
        "p99 ms",
        "non-idempotent p99 ms",
        "batch answered",
        "refused",
        "timed out");
    PlotSeries goodput = new PlotSeries("goodput of the " + service.name(), "share of slot time");
    PlotSeries latency =
        new PlotSeries("interactive p99 of the " + service.name(), PlotSeries.MILLISECONDS);
    for (EntryVmPolicy policy : EntryVmPolicy.values()) {
      for (double ratio : RATIOS) {
        RunResult result = run(service, policy, LoadShape.steady(ratio, END_MILLIS));
        printRow(policy, ratio, result);
        goodput.add(policy.label(), ratio, result.goodput());
        latency.addPositive(policy.label(), ratio, result.latencyMillis(Priority.INTERACTIVE, 99));
        if (policy == EntryVmPolicy.MUSTARDSTAGE && ratio == TARGET_RATIO) {
          addVerdicts(service, result);
        }
      }
    }
    String name = service.name().replace(' ', '-');
    plotWriter.draw("overload-goodput-" + name, goodput);
    plotWriter.draw("overload-latency-" + name, latency);
  }

  private void printRow(EntryVmPolicy policy, double ratio, RunResult result) {
    report.printRow(
        List.of(
            policy.label(),
            MarkdownReport.percent(ratio),
            MarkdownReport.percent(result.goodput()),
            MarkdownReport.millis(result.latencyMillis(Priority.INTERACTIVE, 50)),
            MarkdownReport.millis(result.latencyMillis(Priority.INTERACTIVE, 99)),
            MarkdownReport.millis(result.latencyMillis(Priority.NON_IDEMPOTENT, 99)),
            Long.toString(result.succeededRequests(Priority.BATCH)),
            Long.toString(result.rejected()),
            Long.toString(result.timedOut())));
  }

  private void addVerdicts(ServiceModel service, RunResult result) {
    long timeoutMillis = service.callTypes().getFirst().timeoutMillis();
    double p99 = result.latencyMillis(Priority.INTERACTIVE, 99);
    report.addVerdict(
        "goodput at 200% at least 95% of capacity",
        MarkdownReport.percent(result.goodput()), result.goodput() >= TARGET_GOODPUT);
    report.addVerdict(
        "interactive p99 within " + timeoutMillis + " ms",
        MarkdownReport.millis(p99) + " ms",
        p99 <= timeoutMillis);
    report.printHeader(
        "policy",
        "offered",
        "goodput",
        "interactive p50 ms",
        "p99 ms",
        "non-idempotent p99 ms",
        "batch answered",
        "refused",
        "timed out");
  }

  private void measureRecovery(ServiceModel service) {
    report.startSection("Recovery of the " + service.name() + " after 5 s at 300%, from 60%");
    report.printHeader("policy", "recovered after ms", "gave up", "timed out");
    for (EntryVmPolicy policy : EntryVmPolicy.values()) {
      RunResult result = run(service, policy, BURST);
      long recoveredMillis = recoveryMillis(result);
      report.printRow(
          List.of(
              policy.label(),
              recoveredMillis < 0 ? "not in 20 s" : Long.toString(recoveredMillis),
              Long.toString(result.abandoned()),
              Long.toString(result.timedOut())));
      if (policy == EntryVmPolicy.MUSTARDSTAGE) {
        report.addVerdict(
            "recovery within 5 s",
            recoveredMillis + " ms",
            recoveredMillis >= 0 && recoveredMillis <= TARGET_RECOVERY_MILLIS);
      }
    }
  }

  /**
   * Returns the time from the end of the burst until every later window counts as recovered, or -1
   * if that never happens.
   */
  private static long recoveryMillis(RunResult result) {
    int burstEndWindow = (int) (BURST.burstEndMillis() / LoadShape.WINDOW_MILLIS);
    int recoveredWindow = result.succeededPerWindow().length() - 1;
    while (recoveredWindow > burstEndWindow && isRecovered(result, recoveredWindow - 1)) {
      recoveredWindow--;
    }
    boolean never = recoveredWindow == result.succeededPerWindow().length() - 1;
    return never ? -1 : (recoveredWindow - burstEndWindow) * LoadShape.WINDOW_MILLIS;
  }

  private static boolean isRecovered(RunResult result, int window) {
    double offered = 0;
    double succeeded = 0;
    for (int i = Math.max(0, window - 3); i <= window; i++) {
      offered += result.arrivalsPerWindow().get(i);
      succeeded += result.succeededPerWindow().get(i);
    }
    return succeeded >= RECOVERED_FRACTION * offered;
  }

  private RunResult run(ServiceModel service, EntryVmPolicy policy, LoadShape load) {
    return new Simulation(service, policy, Scenario.HEALTHY, load, seed).run(WARM_UP_MILLIS);
  }
}
