package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.gateway.StorePosition;
import org.mustardstage.entry.gateway.RowStore.Rows;
import org.mustardstage.entry.gateway.RowStore.StoredRow;
import org.mustardstage.entry.platform.PlatformFailure;

class TableReplicaTest {
  private static final long SECOND = 1_000_000_000L;

  private final FakeStore store = new FakeStore();
  private final List<Runnable> scheduledTasks = new ArrayList<>();
  private final List<String> events = new ArrayList<>();
  private final TableReplica replica =
      new TableReplica(
          store,
          PlatformAdapter.Table.OPERATOR,
          new TableReplica.PollSettings(1_000, 0),
          (delayMillis, task) -> scheduledTasks.add(task),
          row -> row.value().map(ByteBuffer::wrap),
          new RecordingListener());

  @Test
  void tableIsReadOnceAndThenItsChanges() {
    replica.start();
    store.complete(rows(7, row("a", 3)));
    runScheduledTasks();
    store.complete(rows(9, row("b", 9)));

    assertThat(store.calls, contains("all", "after 7"));
    assertThat(events, contains("a@3", "b@9"));
  }

  @Test
  void wholeTableIsReadAfterLostHistoryAndMissingRowsAreRemoved() {
    replica.start();
    store.complete(rows(7, row("a", 3), row("b", 4)));
    runScheduledTasks();
    store.complete(Either.left(new PlatformFailure.HistoryLost()));
    store.complete(rows(20, row("b", 4)));

    assertThat(store.calls, contains("all", "after 7", "all"));
    assertThat(events, contains("a@3", "b@4", "a gone"));
  }

  @Test
  void outdatedResponseChangesNothing() {
    replica.start();
    store.complete(rows(7, row("a", 3)));
    runScheduledTasks();
    store.complete(Either.left(new PlatformFailure.HistoryLost()));
    store.complete(rows(2));

    assertThat(events, contains("a@3"));
    assertThat(replica.position(), is(new StorePosition(0, 7)));
  }

  @Test
  void olderRowNeverReplacesANewerOne() {
    replica.start();
    store.complete(rows(7, row("a", 5)));
    runScheduledTasks();
    store.complete(rows(8, row("a", 4)));

    assertThat(events, contains("a@5"));
  }

  @Test
  void restoredStoreIsReadAgainAndReusedVersionsAreBelieved() {
    replica.start();
    store.complete(rows(40, row("a", 3), row("b", 39), row("c", 40, "new")));
    runScheduledTasks();
    store.complete(Either.left(new PlatformFailure.HistoryLost()));
    store.complete(rowsOfEra(1, 10, row("a", 3), row("c", 5, "old")));
    runScheduledTasks();
    store.complete(rowsOfEra(1, 12, row("b", 12)));

    assertThat(
        events, contains("a@3", "b@39", "c@40", "restored 0/40 1/10", "c@5", "b gone", "b@12"));
    assertThat(store.calls, contains("all", "after 40", "all", "after 10"));
    assertThat(replica.position(), is(new StorePosition(1, 12)));
  }

  @Test
  void changesOfALaterEraAreNotAppliedToRowsOfAnEarlierOne() {
    replica.start();
    store.complete(rows(7, row("a", 3), row("b", 7)));
    runScheduledTasks();
    store.complete(rowsOfEra(1, 9, row("c", 9)));
    store.complete(rowsOfEra(1, 9, row("a", 3), row("c", 9)));

    assertThat(events, contains("a@3", "b@7", "restored 0/7 1/9", "c@9", "b gone"));
    assertThat(store.calls, contains("all", "after 7", "all"));
  }

  @Test
  void responseOfAnEarlierEraChangesNothing() {
    replica.start();
    store.complete(rowsOfEra(2, 7, row("a", 3)));
    runScheduledTasks();
    store.complete(rowsOfEra(1, 20, row("b", 20)));

    assertThat(events, contains("a@3"));
    assertThat(replica.position(), is(new StorePosition(2, 7)));
  }

  @Test
  void rowsOfAPeerInAnEarlierEraAreIgnored() {
    replica.start();
    store.complete(rowsOfEra(1, 7, row("a", 3)));

    boolean complete =
        replica.applyPeerRows(SECOND, 0, rowsOfEra(0, 90, row("b", 80)).get(), /* current= */ true);

    assertThat(complete, is(true));
    assertThat(events, contains("a@3"));
  }

  @Test
  void partOfThePeersTableInALaterEraIsNotApplied() {
    replica.start();
    store.complete(rows(7, row("a", 3)));

    assertThat(
        replica.applyPeerRows(SECOND, 4, rowsOfEra(1, 5, row("b", 5)).get(), /* current= */ true),
        is(false));
    assertThat(
        replica.applyPeerRows(SECOND, 0, rowsOfEra(1, 5, row("b", 5)).get(), /* current= */ false),
        is(true));
    assertThat(events, contains("a@3", "restored 0/7 1/5", "b@5", "a gone"));
  }

  @Test
  void failureIsReportedOnceAndTheReplicaKeepsCalling() {
    replica.start();
    store.complete(rows(7));
    runScheduledTasks();
    store.complete(Either.left(new PlatformFailure.Refused(503)));
    runScheduledTasks();
    store.complete(Either.left(new PlatformFailure.Refused(503)));
    runScheduledTasks();
    store.complete(rows(8, row("a", 8)));

    assertThat(events, contains("lost", "back", "a@8"));
    assertThat(store.calls, contains("all", "after 7", "after 7", "after 7"));
  }

  @Test
  void unreachableStoreIsCalledWithoutWaitingForChanges() {
    replica.start();
    store.complete(rows(7));
    runScheduledTasks();
    store.complete(Either.left(new PlatformFailure.NoAnswer("silent")));
    runScheduledTasks();
    store.complete(rows(8));
    runScheduledTasks();

    assertThat(store.requestedWaitMillis, contains(1_000L, 0L, 1_000L));
  }

  @Test
  void waitingCallIsReplacedWhenItsConnectionMayBeDead() {
    replica.start();
    store.complete(rows(7));
    runScheduledTasks();
    SettablePromise<Either<PlatformFailure, Rows>> replacedCall = store.pendingCall;
    replica.replaceWaitingCall();
    store.complete(rows(9, row("a", 9)));
    replacedCall.set(rows(8, row("b", 8)));

    assertThat(store.requestedWaitMillis, contains(1_000L, 0L));
    assertThat(events, contains("back", "a@9"));
  }

  @Test
  void rowsOfAPeerAreAppliedOnlyIfNewer() {
    replica.start();
    replica.applyPeerRows(SECOND, 0, rows(12, row("a", 11)).get(), /* current= */ false);
    replica.applyPeerRows(SECOND, 0, rows(11, row("a", 10)).get(), /* current= */ false);

    assertThat(events, contains("a@11"));
    assertThat(replica.position().version(), is(12L));
    assertThat(replica.changedSince(11), is(empty()));
  }

  @Test
  void rowWithEqualContentIsNoChange() {
    replica.start();
    store.complete(rows(7, row("a", 3)));
    runScheduledTasks();
    store.complete(rows(9, row("a", 9)));

    assertThat(events, contains("a@3"));
    assertThat(replica.position().version(), is(9L));
    assertThat(replica.changedSince(7), is(empty()));
  }

  @Test
  void nonReaderMakesNoCallsWhileMessagesOfTheReaderArrive() {
    startAsNonReader();
    for (int i = 1; i <= 10; i++) {
      runScheduledTasks();
      replica.onTick(i * SECOND);
      replica.applyPeerRows(i * SECOND, 6 + i, rows(7 + i).get(), /* current= */ true);
    }

    assertThat(store.calls, contains("all"));
    assertThat(replica.position().version(), is(17L));
  }

  @Test
  void nonReaderCallsTheStoreWhenNoMessageOfTheReaderArrives() {
    startAsNonReader();
    runScheduledTasks();
    replica.onTick(SECOND);
    assertThat(store.calls, contains("all"));

    replica.onTick(SECOND * 8 / 5);

    assertThat(store.calls, contains("all", "after 7"));
  }

  @Test
  void peerRowsAfterAGapAreNotApplied() {
    startAsNonReader();

    boolean complete = replica.applyPeerRows(SECOND, 9, rows(12).get(), /* current= */ true);

    assertThat(complete, is(false));
    assertThat(replica.position(), is(new StorePosition(0, 7)));
  }

  @Test
  void newReaderCallsTheStoreAtOnce() {
    startAsNonReader();
    runScheduledTasks();

    replica.setReader(SECOND, true);

    assertThat(store.calls, contains("all", "after 7"));
  }

  @Test
  void nonReaderThatTheStoreRejectsIsReachableAgainThroughTheReader() {
    startAsNonReader();
    runScheduledTasks();
    replica.onTick(2 * SECOND);
    store.complete(Either.left(new PlatformFailure.Refused(503)));

    replica.applyPeerRows(3 * SECOND, 7, rows(8, row("b", 8)).get(), /* current= */ true);

    assertThat(events, contains("a@3", "lost", "back", "b@8"));
  }

  private void startAsNonReader() {
    replica.start();
    store.complete(rows(7, row("a", 3)));
    replica.setReader(0, false);
  }

  private void runScheduledTasks() {
    List<Runnable> due = new ArrayList<>(scheduledTasks);
    scheduledTasks.clear();
    due.forEach(Runnable::run);
  }

  private static StoredRow row(String key, long version) {
    return new StoredRow(key, version, Optional.of(key.getBytes(StandardCharsets.UTF_8)));
  }

  /** A row whose value, unlike that of {@link #row}, isn't derived from its key. */
  private static StoredRow row(String key, long version, String value) {
    return new StoredRow(key, version, Optional.of(value.getBytes(StandardCharsets.UTF_8)));
  }

  private static Either<PlatformFailure, Rows> rowsOfEra(
      long era, long version, StoredRow... rows) {
    return Either.right(new Rows(List.of(rows), new StorePosition(era, version)));
  }

  private static Either<PlatformFailure, Rows> rows(long version, StoredRow... rows) {
    return rowsOfEra(0, version, rows);
  }

  private final class RecordingListener implements TableReplica.Listener {
    @Override
    public void onStoreRestored(StorePosition before, StorePosition now) {
      events.add("restored " + before + " " + now);
    }

    @Override
    public void onRowsChanged(List<StoredRow> changed, boolean loaded) {
      changed.forEach(
          row -> events.add(row.key() + (row.value().isPresent() ? "@" + row.version() : " gone")));
    }

    @Override
    public void onStoreRead() {}

    @Override
    public void onStoreReachabilityChanged(boolean reachable, Optional<PlatformFailure> failure) {
      events.add(reachable ? "back" : "lost");
    }
  }

  static final class FakeStore implements RowStore {
    private final List<String> calls = new ArrayList<>();
    private final List<Long> requestedWaitMillis = new ArrayList<>();
    private SettablePromise<Either<PlatformFailure, Rows>> pendingCall = new SettablePromise<>();

    @Override
    public Promise<Either<PlatformFailure, Rows>> readAll(PlatformAdapter.Table table) {
      calls.add("all");
      pendingCall = new SettablePromise<>();
      return pendingCall;
    }

    @Override
    public Promise<Either<PlatformFailure, Rows>> readChanges(
        PlatformAdapter.Table table, long afterVersion, long waitMillis) {
      calls.add("after " + afterVersion);
      requestedWaitMillis.add(waitMillis);
      pendingCall = new SettablePromise<>();
      return pendingCall;
    }

    void complete(Either<PlatformFailure, Rows> result) {
      pendingCall.set(result);
    }
  }
}
