package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableList;
import io.activej.promise.Promise;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.mustardstage.entry.gateway.PlatformAdapter.Table;
import org.mustardstage.entry.platform.PlatformFailure;

/** Tables of rows whose changes can be followed. No promise of it fails. */
public interface RowStore {
  /**
   * A row, or that it was removed.
   *
   * @param key its key
   * @param version the version of the store that last changed it
   * @param value its content; empty when it was removed
   */
  record StoredRow(String key, long version, Optional<byte[]> value) {}

  /**
   * Rows as of one version of the store.
   *
   * @param rows the rows
   * @param version the version up to which they are complete
   */
  record Rows(List<StoredRow> rows, long version) {
    /** Copies the list. */
    public Rows {
      rows = ImmutableList.copyOf(rows);
    }
  }

  /** Returns all rows of {@code table}. */
  Promise<Either<PlatformFailure, Rows>> readAll(Table table);

  /**
   * Returns the rows of {@code table} that changed after {@code afterVersion}, as soon as there is
   * one, or none after {@code waitMillis}.
   */
  Promise<Either<PlatformFailure, Rows>> readChanges(
      Table table, long afterVersion, long waitMillis);
}
