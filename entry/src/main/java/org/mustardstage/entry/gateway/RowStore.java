package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableList;
import io.activej.promise.Promise;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.mustardstage.core.gateway.StorePosition;
import org.mustardstage.entry.gateway.PlatformAdapter.Table;
import org.mustardstage.entry.platform.PlatformFailure;

/**
 * A store of tables whose changes can be read by version. Its promises never fail: failures are
 * returned as values.
 */
public interface RowStore {
  /**
   * A row, or the tombstone of a removed row.
   *
   * @param key the key of the row
   * @param version the version of the store in which the row last changed
   * @param value the encoded content; empty if the row was removed
   */
  record StoredRow(String key, long version, Optional<byte[]> value) {}

  /**
   * Rows as of one position of the store.
   *
   * @param rows the rows, including tombstones
   * @param position the position up to which they are complete
   */
  record Rows(List<StoredRow> rows, StorePosition position) {
    /** Copies the list. */
    public Rows {
      rows = ImmutableList.copyOf(rows);
    }
  }

  /** Returns all rows of {@code table}. */
  Promise<Either<PlatformFailure, Rows>> readAll(Table table);

  /**
   * Returns the rows of {@code table} that changed after {@code afterVersion}. Waits up to {@code
   * waitMillis} for a change if there is none yet, then returns no rows.
   */
  Promise<Either<PlatformFailure, Rows>> readChanges(
      Table table, long afterVersion, long waitMillis);
}
