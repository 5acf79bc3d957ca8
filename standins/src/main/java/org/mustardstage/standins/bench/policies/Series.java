package org.mustardstage.standins.bench.policies;

import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Lines of a plot over the offered load, one for each policy. */
final class Series {
  static final String MILLISECONDS = "milliseconds";

  private final String title;
  private final String unit;
  private final XYSeriesCollection lines = new XYSeriesCollection();

  Series(String title, String unit) {
    this.title = title;
    this.unit = unit;
  }

  void add(String line, double ratio, double value) {
    if (lines.getSeriesIndex(line) < 0) {
      lines.addSeries(new XYSeries(line));
    }
    lines.getSeries(line).add(ratio, value);
  }

  /** Adds a point unless its value is 0, for a logarithmic axis. */
  void addPositive(String line, double ratio, double value) {
    if (value > 0) {
      add(line, ratio, value);
    }
  }

  String title() {
    return title;
  }

  String unit() {
    return unit;
  }

  XYSeriesCollection lines() {
    return lines;
  }
}
