package org.mustardstage.standins.bench.policies;

import java.util.List;
import org.mustardstage.core.manifest.Priority;

/** Latency and headroom at several loads, in good and bad conditions. */
final class RoutingExperiment {
  private static final double[] RATIOS = {0.5, 0.8, 0.95, 1.2};
  private static final long WARM_UP_MILLIS = 2_000;
  private static final long END_MILLIS = 7_000;
  private static final List<ModelService> SERVICES =
      List.of(
          ModelService.ORDER_DESK,
          ModelService.PATTERN_LIBRARY,
          ModelService.CREDIT_LEDGER,
          ModelService.OFFICE_REPORTING);

  private final Report report;
  private final Plots plots;
  private final long seed;

  RoutingExperiment(Report report, Plots plots, long seed) {
    this.report = report;
    this.plots = plots;
    this.seed = seed;
  }

  void run() {
    for (ModelService service : SERVICES) {
      for (Scenario scenario : Scenario.values()) {
        compare(service, scenario);
      }
    }
  }

  private void compare(ModelService service, Scenario scenario) {
    report.title("Routing of the " + service.name() + ", " + scenario.label());
    report.header(
        "policy",
        "offered",
        "interactive p50 ms",
        "p99 ms",
        "goodput",
        "mean headroom",
        "least headroom",
        "timed out");
    Series latency = new Series("interactive p99, " + scenario.label(), Series.MILLISECONDS);
    for (Policy policy : Policy.values()) {
      if (policy == Policy.MUSTARDSTAGE || scenario.concernsBaselines()) {
        for (double ratio : RATIOS) {
          latency.addPositive(policy.label(), ratio, row(service, scenario, policy, ratio));
        }
      }
    }
    if (scenario.concernsBaselines()) {
      String name = service.name() + "-" + scenario.label();
      plots.draw("routing-" + name.replace(' ', '-'), latency);
    }
  }

  private double row(ModelService service, Scenario scenario, Policy policy, double ratio) {
    LoadShape load = LoadShape.steady(ratio, END_MILLIS);
    RunResult result = new Simulation(service, policy, scenario, load, seed).run(WARM_UP_MILLIS);
    double p99Millis = result.latencyMillis(Priority.INTERACTIVE, 99);
    report.row(
        List.of(
            policy.label(),
            Report.percent(ratio),
            Report.millis(result.latencyMillis(Priority.INTERACTIVE, 50)),
            Report.millis(p99Millis),
            Report.percent(result.goodput()),
            Report.percent(result.headroom().mean()),
            Report.percent(result.headroom().least()),
            Long.toString(result.timedOut())));
    return p99Millis;
  }
}
