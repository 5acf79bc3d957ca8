package org.mustardstage.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Prints rows in columns of equal width. */
final class Table {
  private static final String COLUMN_SEPARATOR = "  ";

  private final List<List<String>> rows = new ArrayList<>();

  /** Adds a row; the first is the heading. */
  void add(String... cells) {
    rows.add(List.of(cells));
  }

  /** Writes the rows. */
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
