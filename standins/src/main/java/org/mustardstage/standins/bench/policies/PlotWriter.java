package org.mustardstage.standins.bench.policies;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.LogarithmicAxis;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;

/** Writes plots as PNG files. */
final class PlotWriter {
  private static final int WIDTH_PIXELS = 800;
  private static final int HEIGHT_PIXELS = 500;

  private final Path directory;

  PlotWriter(Path directory) {
    this.directory = directory;
  }

  void draw(String name, PlotSeries series) {
    JFreeChart chart =
        ChartFactory.createXYLineChart(
            series.title(), "offered load / capacity", series.unit(), series.lines());
    XYPlot plot = chart.getXYPlot();
    plot.setRenderer(new XYLineAndShapeRenderer());
    if (series.unit().equals(PlotSeries.MILLISECONDS)) {
      plot.setRangeAxis(new LogarithmicAxis(series.unit()));
    }
    write(name, chart);
  }

  private void write(String name, JFreeChart chart) {
    try {
      Files.createDirectories(directory);
      ChartUtils.saveChartAsPNG(
          directory.resolve(name + ".png").toFile(), chart, WIDTH_PIXELS, HEIGHT_PIXELS);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
