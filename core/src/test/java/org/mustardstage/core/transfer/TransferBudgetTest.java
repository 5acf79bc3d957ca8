package org.mustardstage.core.transfer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class TransferBudgetTest {
  private static final long CAPACITY_BYTES = 40L << 20;
  private static final long RESPONSE_BYTES = 540L << 10;
  private static final int READ_BYTES = 16 << 10;

  private long ordinaryBytes;
  private final TransferBudget<String> budget =
      new TransferBudget<>(CAPACITY_BYTES, () -> ordinaryBytes, new Random(1));

  private int beginUntilRefused(String caller) {
    int begun = 0;
    while (budget.begin(0, caller, RESPONSE_BYTES).isRight()) {
      begun++;
    }
    return begun;
  }

  private TransferBudget<String>.Transfer begin(String caller, long bytes) {
    return budget.begin(0, caller, bytes).get();
  }

  @Test
  void responseThatHasRoomIsReadWithoutAStopWhateverTheCallersPace() {
    TransferBudget<String>.Transfer transfer = begin("a", RESPONSE_BYTES);
    beginUntilRefused("b");
    for (long read = 0; read < RESPONSE_BYTES; read += READ_BYTES) {
      assertThat(transfer.mayReceive(() -> {}), is(true));
      transfer.recordReceived(Math.min(READ_BYTES, RESPONSE_BYTES - read));
    }
    assertThat(budget.heldBytes(), is(RESPONSE_BYTES));
  }

  @Test
  void oneCallerLeavesRoomForAnother() {
    int first = beginUntilRefused("a");
    int second = beginUntilRefused("b");
    assertThat((double) first * RESPONSE_BYTES, lessThanOrEqualTo(CAPACITY_BYTES * 0.67));
    assertThat(second, greaterThan(first / 4));
    assertThat(budget.reservedBytes(), lessThanOrEqualTo(CAPACITY_BYTES));
  }

  @Test
  void ordinaryResponsesComeFirst() {
    ordinaryBytes = CAPACITY_BYTES - RESPONSE_BYTES + 1;
    assertThat(budget.begin(0, "a", RESPONSE_BYTES).isLeft(), is(true));
    ordinaryBytes = 0;
    assertThat(budget.begin(0, "a", RESPONSE_BYTES).isRight(), is(true));
  }

  @Test
  void roomIsBackWhenTheCallerHasTakenTheResponse() {
    TransferBudget<String>.Transfer transfer = begin("a", RESPONSE_BYTES);
    transfer.recordReceived(RESPONSE_BYTES);
    transfer.recordReceivedWhole();
    transfer.recordSent(RESPONSE_BYTES - 1);
    assertThat(budget.reservedBytes(), is(1L));
    transfer.end(0);
    transfer.end(0);
    assertThat(budget.reservedBytes(), is(0L));
    assertThat(budget.heldBytes(), is(0L));
  }

  @Test
  void responseLargerThanExpectedStopsAndGoesOnWhenThereIsRoom() {
    TransferBudget<String>.Transfer transfer = begin("a", RESPONSE_BYTES);
    ordinaryBytes = CAPACITY_BYTES;
    transfer.setLength(4 * RESPONSE_BYTES);
    transfer.recordReceived(RESPONSE_BYTES);
    List<String> asked = new ArrayList<>();
    assertThat(transfer.mayReceive(() -> asked.add("again")), is(false));
    transfer.recordSent(READ_BYTES);
    assertThat(asked, is(List.of("again")));
    ordinaryBytes = 0;
    assertThat(transfer.mayReceive(() -> {}), is(true));
  }

  @Test
  void transferWhoseCallerTakesEverythingNeverStopsForGood() {
    TransferBudget<String>.Transfer transfer = begin("a", TransferBudget.MIN_WINDOW_BYTES);
    ordinaryBytes = CAPACITY_BYTES;
    for (int read = 0; read < 1_000; read++) {
      assertThat(transfer.mayReceive(() -> {}), is(true));
      transfer.recordReceived(READ_BYTES);
      transfer.recordSent(READ_BYTES);
    }
  }

  /** Transfers end one after the other, 10 a second, while those that were refused come back. */
  @Test
  void callersThatComeBackWhenToldFindRoom() {
    Deque<TransferBudget<String>.Transfer> running = new ArrayDeque<>();
    long nowMillis = 0;
    Either<TransferBudget.Refusal, TransferBudget<String>.Transfer> next =
        budget.begin(0, "first", RESPONSE_BYTES);
    while (next.isRight()) {
      running.add(next.get());
      next = budget.begin(0, "caller-" + running.size(), RESPONSE_BYTES);
    }
    for (int i = 0; i < 20; i++) {
      nowMillis += 100;
      running.removeFirst().end(TimeUnit.MILLISECONDS.toNanos(nowMillis));
      running.add(begin("other-" + i, RESPONSE_BYTES));
    }
    PriorityQueue<Long> returns = new PriorityQueue<>();
    long refusedAtMillis = nowMillis;
    for (int i = 0; i < 40; i++) {
      returns.add(refusedAtMillis + refuse(nowMillis, "late-" + i));
    }
    int servedAtFirstReturn = 0;
    while (!returns.isEmpty()) {
      nowMillis += 100;
      long nowNanos = TimeUnit.MILLISECONDS.toNanos(nowMillis);
      if (!running.isEmpty()) {
        running.removeFirst().end(nowNanos);
      }
      while (!returns.isEmpty() && returns.peek() <= nowMillis) {
        returns.remove();
        Either<TransferBudget.Refusal, TransferBudget<String>.Transfer> begun =
            budget.begin(nowNanos, "back-" + returns.size(), RESPONSE_BYTES);
        if (begun.isRight()) {
          running.add(begun.get());
          servedAtFirstReturn++;
        }
      }
    }
    assertThat(servedAtFirstReturn, greaterThanOrEqualTo(36));
  }

  private long refuse(long nowMillis, String caller) {
    return budget
        .begin(TimeUnit.MILLISECONDS.toNanos(nowMillis), caller, RESPONSE_BYTES)
        .getLeft()
        .retryAfterMillis();
  }

  @Test
  void estimateFollowsLargerResponsesAtOnceAndSmallerOnesSlowly() {
    ResponseSizeEstimator sizes = new ResponseSizeEstimator(1_000);
    assertThat(sizes.expectedBytes("r"), is(1_000L));
    sizes.record("r", 500);
    assertThat(sizes.expectedBytes("r"), is(500L));
    sizes.record("r", 5_000);
    sizes.record("r", 1_000);
    assertThat(sizes.expectedBytes("r"), is(4_800L));
  }
}
