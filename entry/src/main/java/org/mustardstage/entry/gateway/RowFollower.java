package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableList;
import io.activej.promise.Promise;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.mustardstage.entry.gateway.RowStore.Rows;
import org.mustardstage.entry.gateway.RowStore.StoredRow;
import org.mustardstage.entry.platform.PlatformFailure;

/**
 * Keeps a copy of one table of the platform's store up to date. It reads the table once, then
 * follows its changes, and reads it again when the store has dropped its history. Nothing in the
 * copy ever goes back to an older version, even if the store answers from the past.
 *
 * <p>Where another VM reads the store and passes on what changes, this one makes no calls, until it
 * has heard nothing for a while. Rows that only say that their writer is alive are not passed on.
 */
final class RowFollower {
  private static final long FIRST_RETRY_MILLIS = 250;
  private static final long LAST_RETRY_MILLIS = 500;

  /** VMs that only stand in for the reader ask less often: its next success reaches them all. */
  private static final long STAND_IN_RETRY_MILLIS = 2_000;

  /** Three times the longest pause between two answers to a reader that has not failed. */
  private static final long UNHEARD_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private final RowStore store;
  private final PlatformAdapter.Table table;
  private final Pace pace;
  private final Timer timer;
  private final Listener listener;
  private final Function<StoredRow, Object> meaning;
  private final Map<String, Held> rows = new HashMap<>();
  private boolean reader = true;
  private boolean due;
  private long heardNanos;
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

  /**
   * A row that is held.
   *
   * @param row the newest version of it
   * @param meaning what it says, apart from that its writer is alive
   * @param changedVersion the version that last changed what it says, as far as is known here
   */
  private record Held(StoredRow row, Object meaning, long changedVersion) {}

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

    /** The store has answered a call of this VM. */
    void onRead();
  }

  /**
   * Creates a follower that knows nothing.
   *
   * @param meaning what a row says; rows that say the same as before are no change
   */
  RowFollower(
      RowStore store,
      PlatformAdapter.Table table,
      Pace pace,
      Timer timer,
      Function<StoredRow, Object> meaning,
      Listener listener) {
    this.meaning = meaning;
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
        .filter(held -> held.changedVersion() > since)
        .map(Held::row)
        .collect(ImmutableList.toImmutableList());
  }

  /** Sets whether this VM reads the store, or another one does and passes on what changes. */
  void setReader(long nowNanos, boolean isReader) {
    if (reader == isReader) {
      return;
    }
    reader = isReader;
    heardNanos = nowNanos;
    if (reader && due) {
      call();
    }
  }

  /** Stands in for the reader if nothing was heard of it. */
  void onTick(long nowNanos) {
    if (!reader && due && nowNanos - heardNanos > UNHEARD_NANOS) {
      call();
    }
  }

  /**
   * Takes in what another VM knows; returns whether it is complete, so that nothing needs to be
   * asked for.
   *
   * @param afterVersion the version after which {@code known} holds all changes
   * @param current whether the store has just told the other VM so
   */
  boolean onPeerRows(long nowNanos, long afterVersion, Rows known, boolean current) {
    if (afterVersion > version) {
      return false;
    }
    if (current && !reader) {
      heardNanos = nowNanos;
      noteAnswers(true, Optional.empty());
    }
    if (known.version() <= version) {
      return true;
    }
    List<StoredRow> changed = merge(known.rows());
    version = known.version();
    boolean first = !wholeKnown;
    wholeKnown = true;
    if (!changed.isEmpty() || first) {
      listener.onRows(changed, true);
    }
    return true;
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
    due = false;
    long number = ++callNumber;
    boolean readAll = readAllNext && !(wholeKnown && version > 0);
    Promise<Either<PlatformFailure, Rows>> answer =
        readAll
            ? store.readAll(table)
            : store.readChanges(table, version, storeAnswers ? pace.waitMillis() : 0);
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
      callAfter(FIRST_RETRY_MILLIS);
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
    listener.onRead();
    callAfter(pace.gapMillis());
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
    callAfter(reader ? retryMillis : STAND_IN_RETRY_MILLIS);
    retryMillis = Math.min(LAST_RETRY_MILLIS, 2 * retryMillis);
    return false;
  }

  private void callAfter(long delayMillis) {
    timer.after(
        delayMillis,
        () -> {
          due = true;
          if (reader) {
            call();
          }
        });
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
    for (Held held : ImmutableList.copyOf(rows.values())) {
      StoredRow row = held.row();
      boolean isThere = row.value().isPresent();
      if (isThere && !present.containsKey(row.key()) && row.version() <= known.version()) {
        StoredRow gone = new StoredRow(row.key(), known.version(), Optional.empty());
        rows.put(row.key(), new Held(gone, meaning.apply(gone), known.version()));
        removed.add(gone);
      }
    }
    return removed;
  }

  /** Takes over the newer rows; returns those that say something else than before. */
  private List<StoredRow> merge(List<StoredRow> newer) {
    List<StoredRow> changed = new ArrayList<>();
    for (StoredRow row : newer) {
      Held held = rows.get(row.key());
      if (held != null && held.row().version() >= row.version()) {
        continue;
      }
      Object says = meaning.apply(row);
      if (held != null && held.meaning().equals(says)) {
        rows.put(row.key(), new Held(row, says, held.changedVersion()));
      } else {
        rows.put(row.key(), new Held(row, says, row.version()));
        changed.add(row);
      }
    }
    return changed;
  }
}
