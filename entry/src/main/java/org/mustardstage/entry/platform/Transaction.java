package org.mustardstage.entry.platform;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;

/**
 * Conditional writes: all of them are applied if every condition holds, otherwise none.
 *
 * @param conditions the revisions that rows must have
 * @param writes the rows to write
 */
public record Transaction(List<Condition> conditions, List<Write> writes) {
  /** The revision of a row that does not exist. */
  public static final long ABSENT = 0;

  /** Copies the lists. */
  public Transaction {
    conditions = ImmutableList.copyOf(conditions);
    writes = ImmutableList.copyOf(writes);
  }

  /** Requires that row {@code key} has {@code revision}, or does not exist if that is 0. */
  public record Condition(String key, long revision) {}

  /** Sets row {@code key} to {@code value}, or deletes it if the value is empty. */
  public record Write(String key, Optional<String> value) {
    /** Returns a write that sets row {@code key} to {@code value}. */
    public static Write set(String key, String value) {
      return new Write(key, Optional.of(value));
    }
  }
}
