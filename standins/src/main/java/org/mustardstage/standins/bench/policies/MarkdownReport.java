package org.mustardstage.standins.bench.policies;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Prints Markdown tables, and the verdicts of all targets at the end. */
final class MarkdownReport {
  private final PrintStream out;
  private final List<String> verdicts = new ArrayList<>();
  private String title = "";

  MarkdownReport(PrintStream out) {
    this.out = out;
  }

  void startSection(String title) {
    this.title = title;
    out.println();
    out.println("## " + title);
    out.println();
  }

  void printHeader(String... columns) {
    printRow(List.of(columns));
    out.println("|" + " --- |".repeat(columns.length));
  }

  void printRow(List<String> cells) {
    out.println("| " + String.join(" | ", cells) + " |");
  }

  /** Records whether a target was met, for the list at the end. */
  void addVerdict(String target, String measured, boolean met) {
    String verdict = met ? "met" : "MISSED";
    verdicts.add(String.format("- %s, %s: %s (target: %s)", verdict, title, measured, target));
  }

  void printVerdicts() {
    startSection("Targets");
    verdicts.forEach(out::println);
  }

  static String percent(double share) {
    return String.format(Locale.ROOT, "%.1f%%", share * 100);
  }

  static String millis(double millis) {
    return String.format(Locale.ROOT, "%.1f", millis);
  }
}
