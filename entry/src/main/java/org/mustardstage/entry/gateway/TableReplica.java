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
final class TableReplica {
  private static final long FIRST_RETRY_MILLIS = 250;
  private static final long MAX_RETRY_MILLIS = 500;

  /** VMs that only stand in for the reader ask less often: its next success reaches them all. */
  private static final long NON_READER_RETRY_MILLIS = 2_000;

  /** Three times the longest pause between two answers to a reader that has not failed. */
  private static final long READER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private final RowStore store;
  private final PlatformAdapter.Table table;
  private final PollSettings pollSettings;
  private final Scheduler scheduler;
  private final Listener listener;
  private final Function<StoredRow, Object> contentOf;
  private final Map<String, CachedRow> rows = new HashMap<>();
  private boolean isReader = true;
  private boolean callDue;
  private long lastReaderMessageNanos;
  private long version;
  private boolean loaded;
  private boolean fullReadNeeded = true;
  private boolean callInFlight;
  private long callNumber;
  private boolean stopped;
  private boolean storeReachable = true;
  private long retryMillis = FIRST_RETRY_MILLIS;

  /**
   * How often the store is asked.
   *
   * @param waitMillis how long the store may wait for a change before it answers
   * @param gapMillis the pause after each answer
   */
  record PollSettings(long waitMillis, long pauseMillis) {}

  /**
   * A row that is held.
   *
   * @param row the newest version of it
   * @param meaning what it says, apart from that its writer is alive
   * @param changedVersion the version that last changed what it says, as far as is known here
   */
  private record CachedRow(StoredRow row, Object content, long changedVersion) {}

  /** Runs tasks later on the thread of the follower. */
  interface Scheduler {
    /** Runs {@code task} after {@code delayMillis}. */
    void schedule(long delayMillis, Runnable task);
  }

  /** Is told what changes. */
  interface Listener {
    /** The given rows have changed; {@code whole} if the whole table is known now. */
    void onRowsChanged(List<StoredRow> changed, boolean whole);

    /** The store answers again, or has stopped to. */
    void onStoreReachabilityChanged(boolean answers, Optional<PlatformFailure> failure);

    /** The store has answered a call of this VM. */
    void onStoreRead();
  }

  /**
   * Creates a follower that knows nothing.
   *
   * @param meaning what a row says; rows that say the same as before are no change
   */
  TableReplica(
      RowStore store,
      PlatformAdapter.Table table,
      PollSettings pace,
      Scheduler timer,
      Function<StoredRow, Object> meaning,
      Listener listener) {
    this.contentOf = meaning;
    this.store = store;
    this.table = table;
    this.pollSettings = pace;
    this.scheduler = timer;
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
  boolean storeReachable() {
    return storeReachable;
  }

  /** Returns whether the whole table has been read once. */
  boolean isLoaded() {
    return loaded;
  }

  /** Returns the rows that changed after {@code since}, those that were removed included. */
  ImmutableList<StoredRow> changedSince(long since) {
    return rows.values().stream()
        .filter(held -> held.changedVersion() > since)
        .map(CachedRow::row)
        .collect(ImmutableList.toImmutableList());
  }

  /** Sets whether this VM reads the store, or another one does and passes on what changes. */
  void setReader(long nowNanos, boolean isReader) {
    if (isReader == isReader) {
      return;
    }
    isReader = isReader;
    lastReaderMessageNanos = nowNanos;
    if (isReader && callDue) {
      call();
    }
  }

  /** Stands in for the reader if nothing was heard of it. */
  void onTick(long nowNanos) {
    if (!isReader && callDue && nowNanos - lastReaderMessageNanos > READER_TIMEOUT_NANOS) {
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
  boolean applyPeerRows(long nowNanos, long afterVersion, Rows known, boolean current) {
    if (afterVersion > version) {
      return false;
    }
    if (current && !isReader) {
      lastReaderMessageNanos = nowNanos;
      setStoreReachable(true, Optional.empty());
    }
    if (known.version() <= version) {
      return true;
    }
    List<StoredRow> changed = merge(known.rows());
    version = known.version();
    boolean first = !loaded;
    loaded = true;
    if (!changed.isEmpty() || first) {
      listener.onRowsChanged(changed, true);
    }
    return true;
  }

  /**
   * Asks anew if a call waits for a change: another connection to the store has gone silent, and
   * this one may have too. What the old call still brings is passed over.
   */
  void replaceWaitingCall() {
    if (callInFlight) {
      callInFlight = false;
      storeReachable = false;
      call();
    }
  }

  private void call() {
    if (stopped || callInFlight) {
      return;
    }
    callInFlight = true;
    callDue = false;
    long number = ++callNumber;
    boolean readAll = fullReadNeeded && !(loaded && version > 0);
    Promise<Either<PlatformFailure, Rows>> answer =
        readAll
            ? store.readAll(table)
            : store.readChanges(table, version, storeReachable ? pollSettings.waitMillis() : 0);
    answer.whenResult(
        end -> {
          if (number != callNumber) {
            return;
          }
          callInFlight = false;
          if (!stopped) {
            end.fold(this::onFailure, known -> onRows(readAll, known));
          }
        });
  }

  private boolean onRows(boolean readAll, Rows known) {
    retryMillis = FIRST_RETRY_MILLIS;
    setStoreReachable(true, Optional.empty());
    if (readAll && known.version() < version) {
      callAfter(FIRST_RETRY_MILLIS);
      return false;
    }
    List<StoredRow> changed = new ArrayList<>();
    if (readAll) {
      changed.addAll(removeMissing(known));
      fullReadNeeded = false;
    }
    changed.addAll(merge(known.rows()));
    version = Math.max(version, known.version());
    boolean first = !loaded;
    loaded = true;
    if (!changed.isEmpty() || first) {
      listener.onRowsChanged(changed, true);
    }
    listener.onStoreRead();
    callAfter(pollSettings.pauseMillis());
    return true;
  }

  private boolean onFailure(PlatformFailure failure) {
    if (failure instanceof PlatformFailure.HistoryLost) {
      setStoreReachable(true, Optional.empty());
      fullReadNeeded = true;
      loaded = false;
      call();
      return false;
    }
    setStoreReachable(false, Optional.of(failure));
    callAfter(isReader ? retryMillis : NON_READER_RETRY_MILLIS);
    retryMillis = Math.min(MAX_RETRY_MILLIS, 2 * retryMillis);
    return false;
  }

  private void callAfter(long delayMillis) {
    scheduler.schedule(
        delayMillis,
        () -> {
          callDue = true;
          if (isReader) {
            call();
          }
        });
  }

  private void setStoreReachable(boolean answers, Optional<PlatformFailure> failure) {
    if (answers != storeReachable) {
      storeReachable = answers;
      listener.onStoreReachabilityChanged(answers, failure);
    }
  }

  private List<StoredRow> removeMissing(Rows known) {
    Map<String, StoredRow> present = new HashMap<>();
    known.rows().forEach(row -> present.put(row.key(), row));
    List<StoredRow> removed = new ArrayList<>();
    for (CachedRow held : ImmutableList.copyOf(rows.values())) {
      StoredRow row = held.row();
      boolean isThere = row.value().isPresent();
      if (isThere && !present.containsKey(row.key()) && row.version() <= known.version()) {
        StoredRow gone = new StoredRow(row.key(), known.version(), Optional.empty());
        rows.put(row.key(), new CachedRow(gone, contentOf.apply(gone), known.version()));
        removed.add(gone);
      }
    }
    return removed;
  }

  /** Takes over the newer rows; returns those that say something else than before. */
  private List<StoredRow> merge(List<StoredRow> newer) {
    List<StoredRow> changed = new ArrayList<>();
    for (StoredRow row : newer) {
      CachedRow held = rows.get(row.key());
      if (held != null && held.row().version() >= row.version()) {
        continue;
      }
      Object says = contentOf.apply(row);
      if (held != null && held.content().equals(says)) {
        rows.put(row.key(), new CachedRow(row, says, held.changedVersion()));
      } else {
        rows.put(row.key(), new CachedRow(row, says, row.version()));
        changed.add(row);
      }
    }
    return changed;
  }
}
