package org.mustardstage.standins.platform;

import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.mustardstage.schema.generated.PlatformCondition;
import org.mustardstage.schema.generated.PlatformRow;
import org.mustardstage.schema.generated.PlatformTransaction;
import org.mustardstage.schema.generated.PlatformWrite;

/** Stores rows in memory; conditional transactions compare revisions before they write. */
final class TableStore {
  private static final long ABSENT_REVISION = 0;

  private final SortedMap<String, PlatformRow> rows = new TreeMap<>();
  private long lastRevision = ABSENT_REVISION;

  Optional<PlatformRow> read(String key) {
    return Optional.ofNullable(rows.get(key));
  }

  List<PlatformRow> scan(String prefix) {
    return rows.tailMap(prefix).values().stream()
        .takeWhile(row -> row.getKey().startsWith(prefix))
        .toList();
  }

  /**
   * Applies all writes of {@code transaction} if all its conditions hold; returns whether they do.
   */
  boolean commit(PlatformTransaction transaction) {
    if (!transaction.getConditions().stream().allMatch(this::holds)) {
      return false;
    }
    lastRevision++;
    transaction.getWrites().forEach(this::write);
    return true;
  }

  private boolean holds(PlatformCondition condition) {
    long revision = read(condition.getKey()).map(PlatformRow::getRevision).orElse(ABSENT_REVISION);
    return revision == condition.getRevision();
  }

  private void write(PlatformWrite write) {
    if (write.getValue() == null) {
      rows.remove(write.getKey());
      return;
    }
    rows.put(
        write.getKey(),
        new PlatformRow()
            .withKey(write.getKey())
            .withRevision(lastRevision)
            .withValue(write.getValue()));
  }
}
