package org.mustardstage.standins.bench.policies;

import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** The data of one plot: a line over the offered load for each policy. */
final class PlotSeries {
  static final String MILLISECONDS = "milliseconds";

  private final String title;
  private final String unit;
  private final XYSeriesCollection lines = new XYSeriesCollection();

  PlotSeries(String title, String unit) {
    this.title = title;
    this.unit = unit;
  }

  void add(String line, double ratio, double value) {
    if (lines.getSeriesIndex(line) < 0) {
      lines.addSeries(new XYSeries(line));
    }
    lines.getSeries(line).add(ratio, value);
  }

  /** Adds a point if its value is positive; a logarithmic axis has no place for 0. */
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
