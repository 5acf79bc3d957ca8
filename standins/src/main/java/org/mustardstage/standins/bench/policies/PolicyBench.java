package org.mustardstage.standins.bench.policies;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** Runs all experiments with one seed: {@code PolicyBench SEED DIRECTORY_OF_PLOTS [NAME]}. */
public final class PolicyBench {
  private PolicyBench() {}

  /** Runs the experiments and prints their tables. */
  public static void main(String[] args) {
    long seed = Long.parseLong(args[0]);
    Plots plots = new Plots(Path.of(args[1]));
    String only = args.length > 2 ? args[2] : "all";
    Report report = new Report(new PrintStream(System.out, true, StandardCharsets.UTF_8));
    if (isWanted("overload", only)) {
      new OverloadExperiment(report, plots, seed).run();
    }
    if (isWanted("routing", only)) {
      new RoutingExperiment(report, plots, seed).run();
    }
    if (isWanted("drains", only)) {
      new DrainExperiment(report, seed).run();
    }
    if (isWanted("shifts", only)) {
      new ShiftExperiment(report, seed).run();
    }
    report.printVerdicts();
  }

  private static boolean isWanted(String name, String only) {
    return only.equals("all") || only.equals(name);
  }
}
