package org.mustardstage.core.overload;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.manifest.Priority;

class RequestQueueTest {
  private static final long MILLI = 1_000_000;
  private static final long DEADLINE = 1_000 * MILLI;

  private final RequestQueue queue = newQueue(QueueSettings.DEFAULT);
  private long nextId;

  @Test
  void servesInOrderOfArrivalWhenNotOverloaded() {
    offer(0, Priority.INTERACTIVE);
    offer(1 * MILLI, Priority.INTERACTIVE);
    assertThat(polledIds(2 * MILLI, 2), contains(0L, 1L));
  }

  @Test
  void servesMoreImportantCallsFirst() {
    offer(0, Priority.BATCH);
    offer(0, Priority.INTERACTIVE);
    offer(0, Priority.NON_IDEMPOTENT);
    assertThat(polledIds(MILLI, 3), contains(2L, 1L, 0L));
  }

  @Test
  void refusesAtOnceWhatCannotFinishInTime() {
    queue.recordLatency(0, Priority.INTERACTIVE, 20 * MILLI);
    OfferResult result = offer(0, Priority.INTERACTIVE, 10 * MILLI);
    assertThat(reasonOf(result), is(RejectionReason.DEADLINE_TOO_SHORT));
    assertThat(queue.size(), is(0));
  }

  @Test
  void takesInWhatCanFinishInTime() {
    queue.recordLatency(0, Priority.INTERACTIVE, 20 * MILLI);
    OfferResult result = offer(0, Priority.INTERACTIVE, 30 * MILLI);
    assertThat(result, instanceOf(OfferResult.Queued.class));
  }

  @Test
  void asksARefusedCallerToComeBackLater() {
    queue.recordLatency(0, Priority.INTERACTIVE, 20 * MILLI);
    OfferResult.Rejected refused =
        (OfferResult.Rejected) offer(0, Priority.INTERACTIVE, 10 * MILLI);
    assertThat(refused.rejection().retryAfterMillis(), greaterThan(0L));
  }

  @Test
  void triesASlowServiceAgainOnceItsEstimateIsOld() {
    queue.recordLatency(0, Priority.INTERACTIVE, 2 * DEADLINE);
    assertThat(offer(0, Priority.INTERACTIVE), instanceOf(OfferResult.Rejected.class));
    assertThat(offer(9 * DEADLINE, Priority.INTERACTIVE), instanceOf(OfferResult.Queued.class));
  }

  @Test
  void givesUpTheMomentARequestCanNoLongerFinish() {
    queue.recordLatency(0, Priority.INTERACTIVE, 20 * MILLI);
    offer(0, Priority.INTERACTIVE, 100 * MILLI);
    assertThat(queue.expire(79 * MILLI), empty());
    List<Rejection> expired = queue.expire(81 * MILLI);
    assertThat(expired.getFirst().reason(), is(RejectionReason.DEADLINE_PASSED));
    assertThat(queue.poll(82 * MILLI).next(), is(Optional.empty()));
  }

  @Test
  void displacesTheOldestOfTheLeastImportantWhenFull() {
    RequestQueue small = newQueue(new QueueSettings(2, 2, 0.1, 0.05, MILLI, MILLI));
    small.offer(0, waiting(0, Priority.INTERACTIVE, DEADLINE));
    small.offer(0, waiting(0, Priority.INTERACTIVE, DEADLINE));
    OfferResult result = small.offer(0, waiting(0, Priority.NON_IDEMPOTENT, DEADLINE));
    assertThat(result.displaced().getFirst().request().requestId(), is(0L));
    assertThat(result.displaced().getFirst().reason(), is(RejectionReason.DISPLACED));
  }

  @Test
  void neverDisplacesAMoreImportantCall() {
    RequestQueue small = newQueue(new QueueSettings(1, 1, 0.1, 0.05, MILLI, MILLI));
    small.offer(0, waiting(0, Priority.NON_IDEMPOTENT, DEADLINE));
    OfferResult result = small.offer(0, waiting(0, Priority.INTERACTIVE, DEADLINE));
    assertThat(reasonOf(result), is(RejectionReason.QUEUE_FULL));
    assertThat(result.displaced(), empty());
  }

  @Test
  void servesTheNewestFirstAndKeepsTheQueueShortUnderOverload() {
    long now = overload();
    assertThat(queue.isOverloaded(now), is(true));
    assertThat(queue.size(Priority.INTERACTIVE), lessThan(30));
    long newest = nextId;
    offer(now, Priority.INTERACTIVE);
    assertThat(polledIds(now, 1), contains(newest));
  }

  @Test
  void returnsToOrderOfArrivalOnceTheQueueEmpties() {
    long now = overload();
    while (queue.poll(now).next().isPresent()) {
      now += MILLI;
    }
    long oldest = nextId;
    offer(now, Priority.INTERACTIVE);
    offer(now, Priority.INTERACTIVE);
    assertThat(queue.isOverloaded(now), is(false));
    assertThat(polledIds(now, 1), contains(oldest));
  }

  @Test
  void batchStillArrivesUnderLastingOverload() {
    queue.offer(0, waiting(0, Priority.BATCH, 1_000 * DEADLINE));
    overload();
    assertThat(queue.size(Priority.BATCH), is(0));
  }

  @Test
  void forgetsARequestWhoseCallerLeft() {
    offer(0, Priority.INTERACTIVE);
    assertThat(queue.remove(Priority.INTERACTIVE, 0), is(true));
    assertThat(queue.remove(Priority.INTERACTIVE, 0), is(false));
    assertThat(queue.poll(MILLI).next(), is(Optional.empty()));
  }

  @Test
  void keepsAtLeastTheSmallestBoundWhileNothingDeparts() {
    for (int milli = 0; milli < 400; milli++) {
      offer(milli * MILLI, Priority.INTERACTIVE);
    }
    assertThat(queue.size(), greaterThanOrEqualTo(1));
    assertThat(queue.size(), lessThan(50));
  }

  /** Offers two requests for each that departs, for a second; returns the time after it. */
  private long overload() {
    long now = 0;
    for (int milli = 0; milli < 1_000; milli++) {
      now = milli * MILLI;
      offer(now, Priority.INTERACTIVE);
      if (milli % 2 == 0) {
        queue.poll(now);
      }
    }
    return now;
  }

  private OfferResult offer(long nowNanos, Priority priority) {
    return offer(nowNanos, priority, nowNanos + DEADLINE);
  }

  private OfferResult offer(long nowNanos, Priority priority, long deadlineNanos) {
    return queue.offer(nowNanos, waiting(nowNanos, priority, deadlineNanos));
  }

  private QueuedRequest waiting(long nowNanos, Priority priority, long deadlineNanos) {
    return new QueuedRequest(nextId++, priority, nowNanos, deadlineNanos);
  }

  private List<Long> polledIds(long nowNanos, int count) {
    List<Long> ids = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ids.add(queue.poll(nowNanos).next().orElseThrow().requestId());
    }
    return ids;
  }

  private static RejectionReason reasonOf(OfferResult result) {
    return ((OfferResult.Rejected) result).rejection().reason();
  }

  private static RequestQueue newQueue(QueueSettings settings) {
    return new RequestQueue(settings, RetryAfterSettings.DEFAULT, new SplittableRandom(1));
  }
}
