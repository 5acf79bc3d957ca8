package org.mustardstage.entry.platform;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;

/**
 * Writes that are done all or not at all, and only when every condition holds.
 *
 * @param conditions the revisions that rows must have
 * @param writes the rows to write
 */
public record Transaction(List<Condition> conditions, List<Write> writes) {
  /** Revision of a row that does not exist. */
  public static final long ABSENT = 0;

  /** Copies the lists. */
  public Transaction {
    conditions = ImmutableList.copyOf(conditions);
    writes = ImmutableList.copyOf(writes);
  }

  /** Demands that the row {@code key} has {@code revision}; 0 demands that it does not exist. */
  public record Condition(String key, long revision) {}

  /** Sets the row {@code key} to {@code value}, or deletes it when there is none. */
  public record Write(String key, Optional<String> value) {
    /** Returns a write that sets a row. */
    public static Write set(String key, String value) {
      return new Write(key, Optional.of(value));
    }
  }
}
