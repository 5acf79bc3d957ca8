package org.mustardstage.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Prints rows with aligned columns. */
final class Table {
  private static final String COLUMN_SEPARATOR = "  ";

  private final List<List<String>> rows = new ArrayList<>();

  /** Adds a row. The first row is the header. */
  void add(String... cells) {
    rows.add(List.of(cells));
  }

  /** Prints the rows to {@code out}. */
  void print(PrintStream out) {
    for (List<String> row : rows) {
      StringBuilder line = new StringBuilder();
      for (int column = 0; column < row.size(); column++) {
        line.append(row.get(column))
            .append(" ".repeat(width(column) - row.get(column).length()))
            .append(COLUMN_SEPARATOR);
      }
      out.println(line.toString().stripTrailing());
    }
  }

  private int width(int column) {
    return rows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
  }
}
