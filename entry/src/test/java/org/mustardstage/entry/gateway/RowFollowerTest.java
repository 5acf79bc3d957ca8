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
import org.mustardstage.entry.gateway.RowStore.Rows;
import org.mustardstage.entry.gateway.RowStore.StoredRow;
import org.mustardstage.entry.platform.PlatformFailure;

class RowFollowerTest {
  private static final long SECOND = 1_000_000_000L;

  private final FakeStore store = new FakeStore();
  private final List<Runnable> timers = new ArrayList<>();
  private final List<String> seen = new ArrayList<>();
  private final RowFollower follower =
      new RowFollower(
          store,
          PlatformAdapter.Table.OPERATOR,
          new RowFollower.Pace(1_000, 0),
          (delayMillis, task) -> timers.add(task),
          row -> row.value().map(ByteBuffer::wrap),
          new RecordingListener());

  @Test
  void tableIsReadOnceAndThenFollowed() {
    follower.start();
    store.answer(rows(7, row("a", 3)));
    runTimers();
    store.answer(rows(9, row("b", 9)));

    assertThat(store.calls, contains("all", "after 7"));
    assertThat(seen, contains("a@3", "b@9"));
  }

  @Test
  void lostHistoryIsMadeUpForByReadingAllAndWhatIsMissingIsGone() {
    follower.start();
    store.answer(rows(7, row("a", 3), row("b", 4)));
    runTimers();
    store.answer(Either.left(new PlatformFailure.HistoryLost()));
    store.answer(rows(20, row("b", 4)));

    assertThat(store.calls, contains("all", "after 7", "all"));
    assertThat(seen, contains("a@3", "b@4", "a gone"));
  }

  @Test
  void answerFromThePastChangesNothing() {
    follower.start();
    store.answer(rows(7, row("a", 3)));
    runTimers();
    store.answer(Either.left(new PlatformFailure.HistoryLost()));
    store.answer(rows(2));

    assertThat(seen, contains("a@3"));
    assertThat(follower.version(), is(7L));
  }

  @Test
  void olderRowNeverReplacesANewerOne() {
    follower.start();
    store.answer(rows(7, row("a", 5)));
    runTimers();
    store.answer(rows(8, row("a", 4)));

    assertThat(seen, contains("a@5"));
  }

  @Test
  void failureIsToldOnceAndTheFollowerGoesOn() {
    follower.start();
    store.answer(rows(7));
    runTimers();
    store.answer(Either.left(new PlatformFailure.Refused(503)));
    runTimers();
    store.answer(Either.left(new PlatformFailure.Refused(503)));
    runTimers();
    store.answer(rows(8, row("a", 8)));

    assertThat(seen, contains("lost", "back", "a@8"));
    assertThat(store.calls, contains("all", "after 7", "after 7", "after 7"));
  }

  @Test
  void storeThatIsAwayIsAskedWithoutWaiting() {
    follower.start();
    store.answer(rows(7));
    runTimers();
    store.answer(Either.left(new PlatformFailure.NoAnswer("silent")));
    runTimers();
    store.answer(rows(8));
    runTimers();

    assertThat(store.waitsMillis, contains(1_000L, 0L, 1_000L));
  }

  @Test
  void waitingCallIsGivenUpWhenConnectionsMayBeSilent() {
    follower.start();
    store.answer(rows(7));
    runTimers();
    SettablePromise<Either<PlatformFailure, Rows>> silent = store.open;
    follower.suspectSilence();
    store.answer(rows(9, row("a", 9)));
    silent.set(rows(8, row("b", 8)));

    assertThat(store.waitsMillis, contains(1_000L, 0L));
    assertThat(seen, contains("back", "a@9"));
  }

  @Test
  void rowsOfAnotherVmAreTakenWhenTheyAreNewer() {
    follower.start();
    follower.onPeerRows(SECOND, 0, rows(12, row("a", 11)).get(), /* current= */ false);
    follower.onPeerRows(SECOND, 0, rows(11, row("a", 10)).get(), /* current= */ false);

    assertThat(seen, contains("a@11"));
    assertThat(follower.version(), is(12L));
    assertThat(follower.changedSince(11), is(empty()));
  }

  @Test
  void rowThatSaysTheSameAsBeforeIsNoChange() {
    follower.start();
    store.answer(rows(7, row("a", 3)));
    runTimers();
    store.answer(rows(9, row("a", 9)));

    assertThat(seen, contains("a@3"));
    assertThat(follower.version(), is(9L));
    assertThat(follower.changedSince(7), is(empty()));
  }

  @Test
  void vmThatHearsOfTheReaderMakesNoCalls() {
    startAsListener();
    for (int i = 1; i <= 10; i++) {
      runTimers();
      follower.onTick(i * SECOND);
      follower.onPeerRows(i * SECOND, 6 + i, rows(7 + i).get(), /* current= */ true);
    }

    assertThat(store.calls, contains("all"));
    assertThat(follower.version(), is(17L));
  }

  @Test
  void vmThatHearsNothingOfTheReaderReadsTheStoreInTime() {
    startAsListener();
    runTimers();
    follower.onTick(SECOND);
    assertThat(store.calls, contains("all"));

    follower.onTick(SECOND * 8 / 5);

    assertThat(store.calls, contains("all", "after 7"));
  }

  @Test
  void vmThatMissedAMessageOfTheReaderAsksForTheRest() {
    startAsListener();

    boolean complete = follower.onPeerRows(SECOND, 9, rows(12).get(), /* current= */ true);

    assertThat(complete, is(false));
    assertThat(follower.version(), is(7L));
  }

  @Test
  void newReaderAsksTheStoreAtOnce() {
    startAsListener();
    runTimers();

    follower.setReader(SECOND, true);

    assertThat(store.calls, contains("all", "after 7"));
  }

  @Test
  void listenerThatTheStoreTurnsAwayIsBackWhenTheReaderIs() {
    startAsListener();
    runTimers();
    follower.onTick(2 * SECOND);
    store.answer(Either.left(new PlatformFailure.Refused(503)));

    follower.onPeerRows(3 * SECOND, 7, rows(8, row("b", 8)).get(), /* current= */ true);

    assertThat(seen, contains("a@3", "lost", "back", "b@8"));
  }

  private void startAsListener() {
    follower.start();
    store.answer(rows(7, row("a", 3)));
    follower.setReader(0, false);
  }

  private void runTimers() {
    List<Runnable> due = new ArrayList<>(timers);
    timers.clear();
    due.forEach(Runnable::run);
  }

  private static StoredRow row(String key, long version) {
    return new StoredRow(key, version, Optional.of(key.getBytes(StandardCharsets.UTF_8)));
  }

  private static Either<PlatformFailure, Rows> rows(long version, StoredRow... rows) {
    return Either.right(new Rows(List.of(rows), version));
  }

  private final class RecordingListener implements RowFollower.Listener {
    @Override
    public void onRows(List<StoredRow> changed, boolean whole) {
      changed.forEach(
          row -> seen.add(row.key() + (row.value().isPresent() ? "@" + row.version() : " gone")));
    }

    @Override
    public void onRead() {}

    @Override
    public void onStoreAnswers(boolean answers, Optional<PlatformFailure> failure) {
      seen.add(answers ? "back" : "lost");
    }
  }

  private static final class FakeStore implements RowStore {
    private final List<String> calls = new ArrayList<>();
    private final List<Long> waitsMillis = new ArrayList<>();
    private SettablePromise<Either<PlatformFailure, Rows>> open = new SettablePromise<>();

    @Override
    public Promise<Either<PlatformFailure, Rows>> readAll(PlatformAdapter.Table feed) {
      calls.add("all");
      open = new SettablePromise<>();
      return open;
    }

    @Override
    public Promise<Either<PlatformFailure, Rows>> readChanges(
        PlatformAdapter.Table feed, long afterVersion, long waitMillis) {
      calls.add("after " + afterVersion);
      waitsMillis.add(waitMillis);
      open = new SettablePromise<>();
      return open;
    }

    void answer(Either<PlatformFailure, Rows> answer) {
      open.set(answer);
    }
  }
}
