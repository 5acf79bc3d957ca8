package org.mustardstage.review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Collects what was sent, answered and run, with the seconds since the start of the case. */
final class Recorder {
  private final long startNanos = System.nanoTime();
  private final List<String> lines = new ArrayList<>();

  double seconds(long nanos) {
    return (nanos - startNanos) / 1e9;
  }

  double now() {
    return seconds(System.nanoTime());
  }

  void add(String line) {
    addAt(System.nanoTime(), line);
  }

  synchronized void addAt(long nanos, String line) {
    lines.add(String.format(Locale.ROOT, "%9.3f s  %s", seconds(nanos), line));
  }

  synchronized void write(Path file) throws IOException {
    lines.sort(null);
    Files.write(file, lines);
  }
}
