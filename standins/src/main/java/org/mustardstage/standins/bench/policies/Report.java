package org.mustardstage.standins.bench.policies;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Prints tables in Markdown. */
final class Report {
  private final PrintStream out;
  private final List<String> verdicts = new ArrayList<>();
  private String title = "";

  Report(PrintStream out) {
    this.out = out;
  }

  void title(String title) {
    this.title = title;
    out.println();
    out.println("## " + title);
    out.println();
  }

  void header(String... columns) {
    row(List.of(columns));
    out.println("|" + " --- |".repeat(columns.length));
  }

  void row(List<String> cells) {
    out.println("| " + String.join(" | ", cells) + " |");
  }

  /** Keeps a verdict, to be printed at the end. */
  void verdict(String target, String measured, boolean met) {
    String verdict = met ? "met" : "MISSED";
    verdicts.add(String.format("- %s, %s: %s (target: %s)", verdict, title, measured, target));
  }

  void printVerdicts() {
    title("Targets");
    verdicts.forEach(out::println);
  }

  static String percent(double share) {
    return String.format(Locale.ROOT, "%.1f%%", share * 100);
  }

  static String millis(double millis) {
    return String.format(Locale.ROOT, "%.1f", millis);
  }
}
