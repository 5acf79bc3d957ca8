package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableList;
import io.activej.promise.Promise;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mustardstage.entry.gateway.RowStore.Rows;
import org.mustardstage.entry.gateway.RowStore.StoredRow;
import org.mustardstage.entry.platform.PlatformFailure;

/**
 * Keeps a copy of one table of the platform's store up to date. It reads the table once, then
 * follows its changes, and reads it again when the store has dropped its history. Nothing in the
 * copy ever goes back to an older version, even if the store answers from the past.
 */
final class RowFollower {
  private static final long FIRST_RETRY_MILLIS = 250;
  private static final long LAST_RETRY_MILLIS = 500;

  private final RowStore store;
  private final Deployment.Feed table;
  private final Pace pace;
  private final Timer timer;
  private final Listener listener;
  private final Map<String, StoredRow> rows = new HashMap<>();
  private long version;
  private boolean wholeKnown;
  private boolean readAllNext = true;
  private boolean calling;
  private long callNumber;
  private boolean stopped;
  private boolean storeAnswers = true;
  private long retryMillis = FIRST_RETRY_MILLIS;

  /**
   * How often the store is asked.
   *
   * @param waitMillis how long the store may wait for a change before it answers
   * @param gapMillis the pause after each answer
   */
  record Pace(long waitMillis, long gapMillis) {}

  /** Runs tasks later on the thread of the follower. */
  interface Timer {
    /** Runs {@code task} after {@code delayMillis}. */
    void after(long delayMillis, Runnable task);
  }

  /** Is told what changes. */
  interface Listener {
    /** The given rows have changed; {@code whole} if the whole table is known now. */
    void onRows(List<StoredRow> changed, boolean whole);

    /** The store answers again, or has stopped to. */
    void onStoreAnswers(boolean answers, Optional<PlatformFailure> failure);
  }

  RowFollower(RowStore store, Deployment.Feed table, Pace pace, Timer timer, Listener listener) {
    this.store = store;
    this.table = table;
    this.pace = pace;
    this.timer = timer;
    this.listener = listener;
  }

  void start() {
    call();
  }

  void stop() {
    stopped = true;
  }

  /** Returns the version up to which the copy is complete; 0 before the table was read. */
  long version() {
    return version;
  }

  /** Returns whether the store answered the last call. */
  boolean storeAnswers() {
    return storeAnswers;
  }

  /** Returns whether the whole table has been read once. */
  boolean isWholeKnown() {
    return wholeKnown;
  }

  /** Returns the rows that changed after {@code since}, those that were removed included. */
  ImmutableList<StoredRow> changedSince(long since) {
    return rows.values().stream()
        .filter(row -> row.version() > since)
        .collect(ImmutableList.toImmutableList());
  }

  /** Takes in what another VM knows; used while the store can't be reached from here. */
  void onPeerRows(Rows known) {
    if (known.version() <= version) {
      return;
    }
    List<StoredRow> changed = merge(known.rows());
    version = known.version();
    wholeKnown = true;
    listener.onRows(changed, true);
  }

  /**
   * Asks anew if a call waits for a change: another connection to the store has gone silent, and
   * this one may have too. What the old call still brings is passed over.
   */
  void suspectSilence() {
    if (calling) {
      calling = false;
      storeAnswers = false;
      call();
    }
  }

  private void call() {
    if (stopped || calling) {
      return;
    }
    calling = true;
    long number = ++callNumber;
    boolean readAll = readAllNext && !(wholeKnown && version > 0);
    Promise<Either<PlatformFailure, Rows>> answer =
        readAll
            ? store.readAll(table)
            : store.changes(table, version, storeAnswers ? pace.waitMillis() : 0);
    answer.whenResult(
        end -> {
          if (number != callNumber) {
            return;
          }
          calling = false;
          if (!stopped) {
            end.fold(this::onFailure, known -> onAnswer(readAll, known));
          }
        });
  }

  private boolean onAnswer(boolean readAll, Rows known) {
    retryMillis = FIRST_RETRY_MILLIS;
    noteAnswers(true, Optional.empty());
    if (readAll && known.version() < version) {
      timer.after(FIRST_RETRY_MILLIS, this::call);
      return false;
    }
    List<StoredRow> changed = new ArrayList<>();
    if (readAll) {
      changed.addAll(removeMissing(known));
      readAllNext = false;
    }
    changed.addAll(merge(known.rows()));
    version = Math.max(version, known.version());
    boolean first = !wholeKnown;
    wholeKnown = true;
    if (!changed.isEmpty() || first) {
      listener.onRows(changed, true);
    }
    timer.after(pace.gapMillis(), this::call);
    return true;
  }

  private boolean onFailure(PlatformFailure failure) {
    if (failure instanceof PlatformFailure.HistoryLost) {
      noteAnswers(true, Optional.empty());
      readAllNext = true;
      wholeKnown = false;
      call();
      return false;
    }
    noteAnswers(false, Optional.of(failure));
    timer.after(retryMillis, this::call);
    retryMillis = Math.min(LAST_RETRY_MILLIS, 2 * retryMillis);
    return false;
  }

  private void noteAnswers(boolean answers, Optional<PlatformFailure> failure) {
    if (answers != storeAnswers) {
      storeAnswers = answers;
      listener.onStoreAnswers(answers, failure);
    }
  }

  private List<StoredRow> removeMissing(Rows known) {
    Map<String, StoredRow> present = new HashMap<>();
    known.rows().forEach(row -> present.put(row.key(), row));
    List<StoredRow> removed = new ArrayList<>();
    for (StoredRow row : ImmutableList.copyOf(rows.values())) {
      boolean isThere = row.value().isPresent();
      if (isThere && !present.containsKey(row.key()) && row.version() <= known.version()) {
        StoredRow gone = new StoredRow(row.key(), known.version(), Optional.empty());
        rows.put(row.key(), gone);
        removed.add(gone);
      }
    }
    return removed;
  }

  private List<StoredRow> merge(List<StoredRow> newer) {
    List<StoredRow> changed = new ArrayList<>();
    for (StoredRow row : newer) {
      StoredRow held = rows.get(row.key());
      if (held == null || held.version() < row.version()) {
        rows.put(row.key(), row);
        changed.add(row);
      }
    }
    return changed;
  }
}
