package org.mustardstage.standins.bench.policies;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/**
 * Runs one or all experiments with a seed: {@code PolicyBench SEED PLOT_DIRECTORY [NAME]}, where
 * the name is overload, routing, drains or shifts.
 */
public final class PolicyBench {
  private PolicyBench() {}

  /** Runs the experiments and prints their tables and verdicts. */
  public static void main(String[] args) {
    long seed = Long.parseLong(args[0]);
    PlotWriter plotWriter = new PlotWriter(Path.of(args[1]));
    String only = args.length > 2 ? args[2] : "all";
    MarkdownReport report =
        new MarkdownReport(new PrintStream(System.out, true, StandardCharsets.UTF_8));
    if (isWanted("overload", only)) {
      new OverloadExperiment(report, plotWriter, seed).run();
    }
    if (isWanted("routing", only)) {
      new RoutingExperiment(report, plotWriter, seed).run();
    }
    if (isWanted("drains", only)) {
      new DrainExperiment(report, seed).run();
    }
    if (isWanted("shifts", only)) {
      new MoveExperiment(report, seed).run();
    }
    report.printVerdicts();
  }

  private static boolean isWanted(String name, String only) {
    return only.equals("all") || only.equals(name);
  }
}
