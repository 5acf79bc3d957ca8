package org.mustardstage.standins.bench.policies;

import java.util.List;
import org.mustardstage.core.manifest.Priority;

/** Measures latency and headroom at several loads, without and with faults. */
final class RoutingExperiment {
  private static final double[] RATIOS = {0.5, 0.8, 0.95, 1.2};
  private static final long WARM_UP_MILLIS = 2_000;
  private static final long END_MILLIS = 7_000;
  private static final List<ServiceModel> SERVICES =
      List.of(
          ServiceModel.ORDER_DESK,
          ServiceModel.PATTERN_LIBRARY,
          ServiceModel.CREDIT_LEDGER,
          ServiceModel.OFFICE_REPORTING);

  private final MarkdownReport report;
  private final PlotWriter plotWriter;
  private final long seed;

  RoutingExperiment(MarkdownReport report, PlotWriter plotWriter, long seed) {
    this.report = report;
    this.plotWriter = plotWriter;
    this.seed = seed;
  }

  void run() {
    for (ServiceModel service : SERVICES) {
      for (Scenario scenario : Scenario.values()) {
        comparePolicies(service, scenario);
      }
    }
  }

  private void comparePolicies(ServiceModel service, Scenario scenario) {
    report.startSection("Routing of the " + service.name() + ", " + scenario.label());
    report.printHeader(
        "policy",
        "offered",
        "interactive p50 ms",
        "p99 ms",
        "goodput",
        "mean headroom",
        "least headroom",
        "timed out");
    PlotSeries latency =
        new PlotSeries("interactive p99, " + scenario.label(), PlotSeries.MILLISECONDS);
    for (EntryVmPolicy policy : EntryVmPolicy.values()) {
      if (policy == EntryVmPolicy.MUSTARDSTAGE || scenario.affectsBaselines()) {
        for (double ratio : RATIOS) {
          latency.addPositive(policy.label(), ratio, printRow(service, scenario, policy, ratio));
        }
      }
    }
    if (scenario.affectsBaselines()) {
      String name = service.name() + "-" + scenario.label();
      plotWriter.draw("routing-" + name.replace(' ', '-'), latency);
    }
  }

  private double printRow(
      ServiceModel service, Scenario scenario, EntryVmPolicy policy, double ratio) {
    LoadShape load = LoadShape.steady(ratio, END_MILLIS);
    RunResult result = new Simulation(service, policy, scenario, load, seed).run(WARM_UP_MILLIS);
    double p99Millis = result.latencyMillis(Priority.INTERACTIVE, 99);
    report.printRow(
        List.of(
            policy.label(),
            MarkdownReport.percent(ratio),
            MarkdownReport.millis(result.latencyMillis(Priority.INTERACTIVE, 50)),
            MarkdownReport.millis(p99Millis),
            MarkdownReport.percent(result.goodput()),
            MarkdownReport.percent(result.headroom().mean()),
            MarkdownReport.percent(result.headroom().min()),
            Long.toString(result.timedOut())));
    return p99Millis;
  }
}
