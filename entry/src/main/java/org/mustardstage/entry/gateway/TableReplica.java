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
 * A replica of one table of the platform's store. It reads the whole table once, then its changes,
 * and the whole table again when the store has dropped the history of changes. No row ever returns
 * to an older version, even if the store responds with outdated rows.
 *
 * <p>While another VM of the region is a reader of the store and sends its changes to this one,
 * this replica makes no calls, unless no message of a reader has arrived for {@link
 * #READER_TIMEOUT_NANOS}. Rows whose content is unchanged, which only show that their writer is
 * alive, are neither reported as changed nor sent to other VMs.
 */
final class TableReplica {
  private static final long FIRST_RETRY_MILLIS = 250;
  private static final long MAX_RETRY_MILLIS = 500;

  /**
   * A VM that calls only because the readers are silent retries less often, as the next read of a
   * reader reaches all VMs.
   */
  private static final long NON_READER_RETRY_MILLIS = 2_000;

  /**
   * How long a replica that isn't a reader waits for a message of a reader before it calls the
   * store itself. Three times the longest interval between two responses to a reader that has not
   * failed.
   */
  private static final long READER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private final RowStore store;
  private final PlatformAdapter.Table table;
  private final PollSettings pollSettings;
  private final Scheduler scheduler;
  private final Listener listener;
  private final Function<StoredRow, Object> contentOf;
  private final Map<String, CachedRow> rows = new HashMap<>();
  private boolean reader = true;
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
   * How the store is polled for changes.
   *
   * @param waitMillis how long the store may hold a call open until there is a change
   * @param pauseMillis the pause between a response and the next call
   */
  record PollSettings(long waitMillis, long pauseMillis) {}

  /**
   * A row of the replica.
   *
   * @param row the newest known version of the row
   * @param content the decoded content, without what only shows that the writer is alive
   * @param changedVersion the newest known version in which the content changed
   */
  private record CachedRow(StoredRow row, Object content, long changedVersion) {}

  /** Runs tasks with a delay on the thread of the replica. */
  interface Scheduler {
    void schedule(long delayMillis, Runnable task);
  }

  /** Receives the changes of the replica. */
  interface Listener {
    /** Called when the content of rows has changed; {@code loaded} if the table is complete. */
    void onRowsChanged(List<StoredRow> changed, boolean loaded);

    /** Called when the store becomes reachable or unreachable. */
    void onStoreReachabilityChanged(boolean reachable, Optional<PlatformFailure> failure);

    /** Called after each successful read of the store by this VM. */
    void onStoreRead();
  }

  /**
   * Creates an empty replica.
   *
   * @param contentOf decodes a row; a new version of a row with equal content is no change
   */
  TableReplica(
      RowStore store,
      PlatformAdapter.Table table,
      PollSettings pollSettings,
      Scheduler scheduler,
      Function<StoredRow, Object> contentOf,
      Listener listener) {
    this.contentOf = contentOf;
    this.store = store;
    this.table = table;
    this.pollSettings = pollSettings;
    this.scheduler = scheduler;
    this.listener = listener;
  }

  void start() {
    call();
  }

  void stop() {
    stopped = true;
  }

  /** Returns the version up to which the replica is complete, or 0 before the first read. */
  long version() {
    return version;
  }

  /** Returns whether the store is taken to be reachable, from this VM or from a reader. */
  boolean isStoreReachable() {
    return storeReachable;
  }

  /** Returns whether the replica holds the whole table. */
  boolean isLoaded() {
    return loaded;
  }

  /** Returns the rows whose content changed after {@code since}, including removed rows. */
  ImmutableList<StoredRow> changedSince(long since) {
    return rows.values().stream()
        .filter(cached -> cached.changedVersion() > since)
        .map(CachedRow::row)
        .collect(ImmutableList.toImmutableList());
  }

  /** Sets whether this VM is a reader of the store, or receives the changes from the readers. */
  void setReader(long nowNanos, boolean isReader) {
    if (reader == isReader) {
      return;
    }
    reader = isReader;
    lastReaderMessageNanos = nowNanos;
    if (reader && callDue) {
      call();
    }
  }

  /** Calls the store if no message of a reader has arrived within the timeout. */
  void onTick(long nowNanos) {
    if (!reader && callDue && nowNanos - lastReaderMessageNanos > READER_TIMEOUT_NANOS) {
      call();
    }
  }

  /**
   * Applies rows that another VM sent. Returns false, without applying them, if changes are missing
   * between this replica's version and {@code afterVersion}.
   *
   * @param afterVersion the version after which {@code received} holds all changes
   * @param current whether the other VM has just read this from the store
   */
  boolean applyPeerRows(long nowNanos, long afterVersion, Rows received, boolean current) {
    if (afterVersion > version) {
      return false;
    }
    if (current && !reader) {
      lastReaderMessageNanos = nowNanos;
      setStoreReachable(true, Optional.empty());
    }
    if (received.version() <= version) {
      return true;
    }
    List<StoredRow> changed = merge(received.rows());
    version = received.version();
    boolean first = !loaded;
    loaded = true;
    if (!changed.isEmpty() || first) {
      listener.onRowsChanged(changed, true);
    }
    return true;
  }

  /**
   * Replaces a call that waits for a change by a new one, as another connection to the store has
   * stopped responding and this one may have too. The response of the old call is ignored.
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
    Promise<Either<PlatformFailure, Rows>> response =
        readAll
            ? store.readAll(table)
            : store.readChanges(table, version, storeReachable ? pollSettings.waitMillis() : 0);
    response.whenResult(
        result -> {
          if (number != callNumber) {
            return;
          }
          callInFlight = false;
          if (!stopped) {
            result.fold(this::onFailure, read -> onRows(readAll, read));
          }
        });
  }

  private boolean onRows(boolean readAll, Rows read) {
    retryMillis = FIRST_RETRY_MILLIS;
    setStoreReachable(true, Optional.empty());
    if (readAll && read.version() < version) {
      callAfter(FIRST_RETRY_MILLIS);
      return false;
    }
    List<StoredRow> changed = new ArrayList<>();
    if (readAll) {
      changed.addAll(removeMissing(read));
      fullReadNeeded = false;
    }
    changed.addAll(merge(read.rows()));
    version = Math.max(version, read.version());
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
    callAfter(reader ? retryMillis : NON_READER_RETRY_MILLIS);
    retryMillis = Math.min(MAX_RETRY_MILLIS, 2 * retryMillis);
    return false;
  }

  private void callAfter(long delayMillis) {
    scheduler.schedule(
        delayMillis,
        () -> {
          callDue = true;
          if (reader) {
            call();
          }
        });
  }

  private void setStoreReachable(boolean reachable, Optional<PlatformFailure> failure) {
    if (reachable != storeReachable) {
      storeReachable = reachable;
      listener.onStoreReachabilityChanged(reachable, failure);
    }
  }

  private List<StoredRow> removeMissing(Rows read) {
    Map<String, StoredRow> present = new HashMap<>();
    read.rows().forEach(row -> present.put(row.key(), row));
    List<StoredRow> removed = new ArrayList<>();
    for (CachedRow cached : ImmutableList.copyOf(rows.values())) {
      StoredRow row = cached.row();
      boolean isPresent = row.value().isPresent();
      if (isPresent && !present.containsKey(row.key()) && row.version() <= read.version()) {
        StoredRow tombstone = new StoredRow(row.key(), read.version(), Optional.empty());
        rows.put(row.key(), new CachedRow(tombstone, contentOf.apply(tombstone), read.version()));
        removed.add(tombstone);
      }
    }
    return removed;
  }

  /** Stores the rows that are newer than the held ones; returns those whose content changed. */
  private List<StoredRow> merge(List<StoredRow> received) {
    List<StoredRow> changed = new ArrayList<>();
    for (StoredRow row : received) {
      CachedRow cached = rows.get(row.key());
      if (cached != null && cached.row().version() >= row.version()) {
        continue;
      }
      Object content = contentOf.apply(row);
      if (cached != null && cached.content().equals(content)) {
        rows.put(row.key(), new CachedRow(row, content, cached.changedVersion()));
      } else {
        rows.put(row.key(), new CachedRow(row, content, row.version()));
        changed.add(row);
      }
    }
    return changed;
  }
}
