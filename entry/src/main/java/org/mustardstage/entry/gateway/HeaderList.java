package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;

/** Header lines in the order in which they came, with the names as they were written. */
record HeaderList(List<Line> lines) {
  /** Copies the list. */
  HeaderList {
    lines = ImmutableList.copyOf(lines);
  }

  /** One header line. */
  record Line(String name, String value) {
    boolean isNamed(String other) {
      return name.equalsIgnoreCase(other);
    }
  }

  /** Returns the first value of {@code name}. */
  Optional<String> find(String name) {
    for (Line line : lines) {
      if (line.isNamed(name)) {
        return Optional.of(line.value());
      }
    }
    return Optional.empty();
  }

  /** Returns all values of {@code name}. */
  ImmutableList<String> all(String name) {
    ImmutableList.Builder<String> values = ImmutableList.builder();
    for (Line line : lines) {
      if (line.isNamed(name)) {
        values.add(line.value());
      }
    }
    return values.build();
  }

  /** Returns whether there is a header {@code name}. */
  boolean has(String name) {
    return find(name).isPresent();
  }
}
