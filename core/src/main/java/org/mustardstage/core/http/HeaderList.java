package org.mustardstage.core.http;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;

/** Header lines in their original order, with the names in their original case. */
public record HeaderList(List<Line> lines) {
  /** Copies the list. */
  public HeaderList {
    lines = ImmutableList.copyOf(lines);
  }

  /** One header line. Names are compared without regard to case. */
  public record Line(String name, String value) {
    /** Returns whether {@code other} is the name of the header. */
    public boolean isNamed(String other) {
      return name.equalsIgnoreCase(other);
    }
  }

  /** Returns the first value of the header {@code name}, if there is one. */
  public Optional<String> find(String name) {
    for (Line line : lines) {
      if (line.isNamed(name)) {
        return Optional.of(line.value());
      }
    }
    return Optional.empty();
  }

  /** Returns all values of the header {@code name}, in order. */
  public ImmutableList<String> all(String name) {
    ImmutableList.Builder<String> values = ImmutableList.builder();
    for (Line line : lines) {
      if (line.isNamed(name)) {
        values.add(line.value());
      }
    }
    return values.build();
  }

  /** Returns whether there is a header {@code name}. */
  public boolean has(String name) {
    return find(name).isPresent();
  }
}
