package org.mustardstage.standins.bench.policies;

import java.util.List;
import org.mustardstage.core.manifest.Priority;

/** Goodput and latency against offered load, and recovery after a burst. */
final class OverloadExperiment {
  private static final double[] RATIOS = {0.5, 0.8, 0.95, 1.0, 1.2, 1.5, 2.0, 3.0};
  private static final double TARGET_GOODPUT = 0.95;
  private static final double TARGET_RATIO = 2.0;
  private static final long TARGET_RECOVERY_MILLIS = 5_000;
  private static final long WARM_UP_MILLIS = 3_000;
  private static final long END_MILLIS = 12_000;
  private static final LoadShape BURST = new LoadShape(0.6, 3, 5_000, 10_000, 30_000);
  private static final double RECOVERED_SHARE = 0.95;

  private final Report report;
  private final Plots plots;
  private final long seed;

  OverloadExperiment(Report report, Plots plots, long seed) {
    this.report = report;
    this.plots = plots;
    this.seed = seed;
  }

  void run() {
    sweep(ModelService.CREDIT_LEDGER);
    sweep(ModelService.ORDER_DESK);
    burst(ModelService.CREDIT_LEDGER);
    burst(ModelService.ORDER_DESK);
  }

  private void sweep(ModelService service) {
    report.title("Overload of the " + service.name());
    report.header(
        "policy",
        "offered",
        "goodput",
        "interactive p50 ms",
        "p99 ms",
        "non-idempotent p99 ms",
        "batch answered",
        "refused",
        "timed out");
    Series goodput = new Series("goodput of the " + service.name(), "share of slot time");
    Series latency = new Series("interactive p99 of the " + service.name(), Series.MILLISECONDS);
    for (Policy policy : Policy.values()) {
      for (double ratio : RATIOS) {
        RunResult result = run(service, policy, LoadShape.steady(ratio, END_MILLIS));
        row(policy, ratio, result);
        goodput.add(policy.label(), ratio, result.goodput());
        latency.addPositive(policy.label(), ratio, result.latencyMillis(Priority.INTERACTIVE, 99));
        if (policy == Policy.MUSTARDSTAGE && ratio == TARGET_RATIO) {
          judge(service, result);
        }
      }
    }
    String name = service.name().replace(' ', '-');
    plots.draw("overload-goodput-" + name, goodput);
    plots.draw("overload-latency-" + name, latency);
  }

  private void row(Policy policy, double ratio, RunResult result) {
    report.row(
        List.of(
            policy.label(),
            Report.percent(ratio),
            Report.percent(result.goodput()),
            Report.millis(result.latencyMillis(Priority.INTERACTIVE, 50)),
            Report.millis(result.latencyMillis(Priority.INTERACTIVE, 99)),
            Report.millis(result.latencyMillis(Priority.NON_IDEMPOTENT, 99)),
            Long.toString(result.answered(Priority.BATCH)),
            Long.toString(result.refused()),
            Long.toString(result.timedOut())));
  }

  private void judge(ModelService service, RunResult result) {
    long deadlineMillis = service.calls().getFirst().deadlineMillis();
    double p99 = result.latencyMillis(Priority.INTERACTIVE, 99);
    report.verdict(
        "goodput at 200% at least 95% of capacity",
        Report.percent(result.goodput()), result.goodput() >= TARGET_GOODPUT);
    report.verdict(
        "interactive p99 within " + deadlineMillis + " ms",
        Report.millis(p99) + " ms",
        p99 <= deadlineMillis);
    report.header(
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

  private void burst(ModelService service) {
    report.title("Recovery of the " + service.name() + " after 5 s at 300%, from 60%");
    report.header("policy", "recovered after ms", "gave up", "timed out");
    for (Policy policy : Policy.values()) {
      RunResult result = run(service, policy, BURST);
      long recoveredMillis = recoveryMillis(result);
      report.row(
          List.of(
              policy.label(),
              recoveredMillis < 0 ? "not in 20 s" : Long.toString(recoveredMillis),
              Long.toString(result.gaveUp()),
              Long.toString(result.timedOut())));
      if (policy == Policy.MUSTARDSTAGE) {
        report.verdict(
            "recovery within 5 s",
            recoveredMillis + " ms",
            recoveredMillis >= 0 && recoveredMillis <= TARGET_RECOVERY_MILLIS);
      }
    }
  }

  /** Returns the time from the end of the burst until all later windows are good, or -1. */
  private static long recoveryMillis(RunResult result) {
    int burstEnd = (int) (BURST.burstEndMillis() / LoadShape.WINDOW_MILLIS);
    int recovered = result.goodPerWindow().length() - 1;
    while (recovered > burstEnd && isGood(result, recovered - 1)) {
      recovered--;
    }
    boolean never = recovered == result.goodPerWindow().length() - 1;
    return never ? -1 : (recovered - burstEnd) * LoadShape.WINDOW_MILLIS;
  }

  private static boolean isGood(RunResult result, int window) {
    double offered = 0;
    double good = 0;
    for (int i = Math.max(0, window - 3); i <= window; i++) {
      offered += result.startedPerWindow().get(i);
      good += result.goodPerWindow().get(i);
    }
    return good >= RECOVERED_SHARE * offered;
  }

  private RunResult run(ModelService service, Policy policy, LoadShape load) {
    return new Simulation(service, policy, Scenario.HEALTHY, load, seed).run(WARM_UP_MILLIS);
  }
}
