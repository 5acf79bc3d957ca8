package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import io.activej.promise.Promise;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.mustardstage.core.gateway.StorePosition;
import org.mustardstage.entry.gateway.RowStore.Rows;
import org.mustardstage.entry.gateway.RowStore.StoredRow;
import org.mustardstage.entry.platform.PlatformFailure;

/**
 * A replica of one table of the platform's store. It reads the whole table once, then its changes,
 * and the whole table again when the store has dropped the history of changes. No row ever returns
 * to an older version, even if the store responds with outdated rows.
 *
 * <p>A store that was restored from an older copy is in a later era, in which the versions of the
 * earlier eras mean nothing. The whole table is then read again and replaces the rows; rows of two
 * eras are never mixed.
 *
 * <p>While another VM of the region is a reader of the store and sends its changes to this one,
 * this replica makes no calls, unless no message of a reader about any table has arrived for {@link
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
  private long lastReaderMessageNanos = Long.MIN_VALUE / 2;
  private StorePosition position = StorePosition.START;

  /** The sum of the hashes of all rows that exist. */
  private long contentHash;

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
  private record CachedRow(StoredRow row, Object content, long changedVersion) {
    long contentHash() {
      return row.value().isEmpty()
          ? 0
          : Hashing.murmur3_128()
              .newHasher()
              .putUnencodedChars(row.key())
              .putInt(content.hashCode())
              .hash()
              .asLong();
    }
  }

  /** Runs tasks with a delay on the thread of the replica. */
  interface Scheduler {
    void schedule(long delayMillis, Runnable task);
  }

  /** Receives the changes of the replica. */
  interface Listener {
    /**
     * Called when the store was restored from an older copy, before the changes by which the rows
     * of the copy differ from the rows before it are reported.
     */
    void onStoreRestored(StorePosition before, StorePosition now);

    /** Called when the content of rows has changed; {@code loaded} if the table is complete. */
    void onRowsChanged(List<StoredRow> changed, boolean loaded);

    /** Called when the store becomes reachable or unreachable. */
    void onStoreReachabilityChanged(boolean reachable, Optional<PlatformFailure> failure);

    /** Called after each successful read of the store by this VM. */
    void onStoreRead();

    /** Called when this replica holds what another VM has just read from the store. */
    default void onPeerRead() {}
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

  /** Returns the position up to which the replica is complete. */
  StorePosition position() {
    return position;
  }

  /**
   * Returns a hash of the contents of all rows that exist. Replicas at the same position have the
   * same hash, unless one of them has missed a change: a reader that sees a row only before and
   * after two changes that cancel each other out doesn't report either of them to the others.
   */
  long contentHash() {
    return contentHash;
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
    recordReaderAlive(nowNanos);
    if (reader && callDue) {
      call();
    }
  }

  /**
   * Records that a reader has just read a table of the store. It then follows this table too, so
   * this replica makes no calls of its own for a while.
   */
  void recordReaderAlive(long nowNanos) {
    lastReaderMessageNanos = Math.max(lastReaderMessageNanos, nowNanos);
  }

  /** Calls the store if no message of a reader has arrived within the timeout. */
  void onTick(long nowNanos) {
    boolean readersSilent = nowNanos - lastReaderMessageNanos > READER_TIMEOUT_NANOS;
    if (!reader && callDue && (readersSilent || position.equals(StorePosition.START))) {
      call();
    }
  }

  /**
   * Applies rows that another VM sent. Returns false, without applying them, if changes are missing
   * between this replica's position and {@code afterVersion}, or if the rows are only a part of the
   * table in a later era.
   *
   * @param afterVersion the version after which {@code received} holds all changes of its era; 0 if
   *     it holds the whole table
   * @param current whether the other VM has just read this from the store
   */
  boolean applyPeerRows(long nowNanos, long afterVersion, Rows received, boolean current) {
    boolean laterEra = received.position().isOfLaterEraThan(position);
    if (position.isOfLaterEraThan(received.position())) {
      return true;
    }
    if (laterEra ? afterVersion > 0 : afterVersion > position.version()) {
      return false;
    }
    if (current && !reader) {
      recordReaderAlive(nowNanos);
      setStoreReachable(true, Optional.empty());
    }
    boolean wholeTable = afterVersion == 0;
    int comparison = received.position().compareTo(position);
    if (comparison > 0 || (comparison == 0 && wholeTable)) {
      apply(received, wholeTable);
    }
    if (current) {
      listener.onPeerRead();
    }
    return true;
  }

  /** Applies newer rows and reports what they change. */
  private void apply(Rows read, boolean wholeTable) {
    StorePosition before = position;
    boolean first = !loaded;
    List<StoredRow> changed = new ArrayList<>();
    if (read.position().isOfLaterEraThan(before)) {
      changed.addAll(enterEra(read));
    } else {
      if (wholeTable) {
        changed.addAll(removeMissing(read));
      }
      changed.addAll(merge(read.rows()));
    }
    position = read.position().compareTo(before) > 0 ? read.position() : before;
    loaded = true;
    if (position.isOfLaterEraThan(before) && before.version() > 0) {
      listener.onStoreRestored(before, position);
    }
    if (!changed.isEmpty() || first) {
      listener.onRowsChanged(changed, true);
    }
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
    boolean readAll = fullReadNeeded && !(loaded && position.version() > 0);
    Promise<Either<PlatformFailure, Rows>> response =
        readAll
            ? store.readAll(table)
            : store.readChanges(
                table, position.version(), storeReachable ? pollSettings.waitMillis() : 0);
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
    if (!readAll && read.position().isOfLaterEraThan(position)) {
      return readWholeTable();
    }
    boolean outdated =
        readAll
            ? read.position().compareTo(position) < 0
            : position.isOfLaterEraThan(read.position());
    if (outdated) {
      callAfter(FIRST_RETRY_MILLIS);
      return false;
    }
    if (readAll) {
      fullReadNeeded = false;
    }
    apply(read, readAll);
    listener.onStoreRead();
    callAfter(pollSettings.pauseMillis());
    return true;
  }

  private boolean readWholeTable() {
    fullReadNeeded = true;
    loaded = false;
    call();
    return false;
  }

  private boolean onFailure(PlatformFailure failure) {
    if (failure instanceof PlatformFailure.HistoryLost) {
      setStoreReachable(true, Optional.empty());
      return readWholeTable();
    }
    setStoreReachable(false, Optional.of(failure));
    boolean retriesSoon = reader || position.equals(StorePosition.START);
    callAfter(retriesSoon ? retryMillis : NON_READER_RETRY_MILLIS);
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
      long version = read.position().version();
      if (isPresent && !present.containsKey(row.key()) && row.version() <= version) {
        removed.add(putTombstone(row.key(), version));
      }
    }
    return removed;
  }

  private void put(CachedRow row) {
    CachedRow replaced = rows.put(row.row().key(), row);
    contentHash += row.contentHash() - (replaced == null ? 0 : replaced.contentHash());
  }

  private StoredRow putTombstone(String key, long version) {
    StoredRow tombstone = new StoredRow(key, version, Optional.empty());
    put(new CachedRow(tombstone, contentOf.apply(tombstone), version));
    return tombstone;
  }

  /**
   * Replaces all rows by the whole table of a later era; returns those whose content changed. The
   * rows that the table lacks become tombstones of the new era.
   */
  private List<StoredRow> enterEra(Rows table) {
    Map<String, CachedRow> before = new HashMap<>(rows);
    rows.clear();
    contentHash = 0;
    List<StoredRow> changed = new ArrayList<>();
    for (StoredRow row : table.rows()) {
      Object content = contentOf.apply(row);
      put(new CachedRow(row, content, row.version()));
      CachedRow cached = before.remove(row.key());
      if (cached == null || !cached.content().equals(content)) {
        changed.add(row);
      }
    }
    for (CachedRow missing : before.values()) {
      StoredRow tombstone = putTombstone(missing.row().key(), table.position().version());
      if (missing.row().value().isPresent()) {
        changed.add(tombstone);
      }
    }
    return changed;
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
        put(new CachedRow(row, content, cached.changedVersion()));
      } else {
        put(new CachedRow(row, content, row.version()));
        changed.add(row);
      }
    }
    return changed;
  }
}
