package org.mustardstage.entry.traffic;

import com.google.common.base.Splitter;
import com.google.common.primitives.Longs;
import java.util.List;
import java.util.OptionalDouble;
import org.jspecify.annotations.Nullable;

/** Parses the load header in the responses of endpoints. */
final class LoadHeader {
  private static final Splitter SPLITTER = Splitter.on('/').limit(3);
  private static final int PARTS = 2;

  private LoadHeader() {}

  /** Returns the utilization that {@code text}, of the form {@code inUse/slots}, reports. */
  static OptionalDouble parseUtilization(@Nullable String text) {
    if (text == null) {
      return OptionalDouble.empty();
    }
    List<String> parts = SPLITTER.splitToList(text);
    if (parts.size() != PARTS) {
      return OptionalDouble.empty();
    }
    Long inUse = Longs.tryParse(parts.get(0));
    Long slots = Longs.tryParse(parts.get(1));
    if (inUse == null || slots == null || slots <= 0 || inUse < 0) {
      return OptionalDouble.empty();
    }
    return OptionalDouble.of((double) inUse / slots);
  }
}
