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

/**
 * Checks the order and the limits of the queue with and without overload. The failures guarded
 * against are a queue of requests whose callers have given up, which wastes the endpoints' work,
 * and the starvation or displacement of requests by ones of lower priority.
 */
class RequestQueueTest {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long DEADLINE_NANOS = 1_000 * NANOS_PER_MILLI;

  private final RequestQueue queue = newQueue(QueueSettings.DEFAULT);
  private long nextId;

  @Test
  void runsInOrderOfArrivalWhenNotOverloaded() {
    offer(0, Priority.INTERACTIVE);
    offer(1 * NANOS_PER_MILLI, Priority.INTERACTIVE);
    assertThat(pollIds(2 * NANOS_PER_MILLI, 2), contains(0L, 1L));
  }

  @Test
  void runsHigherPriorityFirst() {
    offer(0, Priority.BATCH);
    offer(0, Priority.INTERACTIVE);
    offer(0, Priority.NON_IDEMPOTENT);
    assertThat(pollIds(NANOS_PER_MILLI, 3), contains(2L, 1L, 0L));
  }

  @Test
  void rejectsRequestThatCannotMeetItsDeadline() {
    queue.recordLatency(0, Priority.INTERACTIVE, 20 * NANOS_PER_MILLI);
    OfferResult result = offer(0, Priority.INTERACTIVE, 10 * NANOS_PER_MILLI);
    assertThat(reasonOf(result), is(RejectionReason.DEADLINE_TOO_SHORT));
    assertThat(queue.size(), is(0));
  }

  @Test
  void queuesRequestThatCanMeetItsDeadline() {
    queue.recordLatency(0, Priority.INTERACTIVE, 20 * NANOS_PER_MILLI);
    OfferResult result = offer(0, Priority.INTERACTIVE, 30 * NANOS_PER_MILLI);
    assertThat(result, instanceOf(OfferResult.Queued.class));
  }

  @Test
  void givesRejectedCallerAPositiveRetryDelay() {
    queue.recordLatency(0, Priority.INTERACTIVE, 20 * NANOS_PER_MILLI);
    OfferResult.Rejected rejected =
        (OfferResult.Rejected) offer(0, Priority.INTERACTIVE, 10 * NANOS_PER_MILLI);
    assertThat(rejected.rejection().retryAfterMillis(), greaterThan(0L));
  }

  @Test
  void acceptsRequestsOfASlowServiceOnceItsEstimateIsStale() {
    queue.recordLatency(0, Priority.INTERACTIVE, 2 * DEADLINE_NANOS);
    assertThat(offer(0, Priority.INTERACTIVE), instanceOf(OfferResult.Rejected.class));
    assertThat(
        offer(9 * DEADLINE_NANOS, Priority.INTERACTIVE), instanceOf(OfferResult.Queued.class));
  }

  @Test
  void expiresRequestOnceItCanNoLongerMeetItsDeadline() {
    queue.recordLatency(0, Priority.INTERACTIVE, 20 * NANOS_PER_MILLI);
    offer(0, Priority.INTERACTIVE, 100 * NANOS_PER_MILLI);
    assertThat(queue.expire(79 * NANOS_PER_MILLI), empty());
    List<Rejection> expired = queue.expire(81 * NANOS_PER_MILLI);
    assertThat(expired.getFirst().reason(), is(RejectionReason.DEADLINE_PASSED));
    assertThat(queue.poll(82 * NANOS_PER_MILLI).next(), is(Optional.empty()));
  }

  @Test
  void displacesTheOldestOfTheLowestPriorityWhenFull() {
    RequestQueue small =
        newQueue(new QueueSettings(2, 2, 0.1, 0.05, NANOS_PER_MILLI, NANOS_PER_MILLI));
    small.offer(0, request(0, Priority.INTERACTIVE, DEADLINE_NANOS));
    small.offer(0, request(0, Priority.INTERACTIVE, DEADLINE_NANOS));
    OfferResult result = small.offer(0, request(0, Priority.NON_IDEMPOTENT, DEADLINE_NANOS));
    assertThat(result.displaced().getFirst().request().requestId(), is(0L));
    assertThat(result.displaced().getFirst().reason(), is(RejectionReason.DISPLACED));
  }

  @Test
  void neverDisplacesAHigherPriority() {
    RequestQueue small =
        newQueue(new QueueSettings(1, 1, 0.1, 0.05, NANOS_PER_MILLI, NANOS_PER_MILLI));
    small.offer(0, request(0, Priority.NON_IDEMPOTENT, DEADLINE_NANOS));
    OfferResult result = small.offer(0, request(0, Priority.INTERACTIVE, DEADLINE_NANOS));
    assertThat(reasonOf(result), is(RejectionReason.QUEUE_FULL));
    assertThat(result.displaced(), empty());
  }

  @Test
  void runsNewestFirstAndKeepsTheQueueShortUnderOverload() {
    long now = overload();
    assertThat(queue.isOverloaded(now), is(true));
    assertThat(queue.size(Priority.INTERACTIVE), lessThan(30));
    long newest = nextId;
    offer(now, Priority.INTERACTIVE);
    assertThat(pollIds(now, 1), contains(newest));
  }

  @Test
  void returnsToOrderOfArrivalOnceTheQueueEmpties() {
    long now = overload();
    while (queue.poll(now).next().isPresent()) {
      now += NANOS_PER_MILLI;
    }
    long oldest = nextId;
    offer(now, Priority.INTERACTIVE);
    offer(now, Priority.INTERACTIVE);
    assertThat(queue.isOverloaded(now), is(false));
    assertThat(pollIds(now, 1), contains(oldest));
  }

  @Test
  void batchRequestRunsUnderLastingOverload() {
    queue.offer(0, request(0, Priority.BATCH, 1_000 * DEADLINE_NANOS));
    overload();
    assertThat(queue.size(Priority.BATCH), is(0));
  }

  @Test
  void removesRequestOfADisconnectedCaller() {
    offer(0, Priority.INTERACTIVE);
    assertThat(queue.remove(Priority.INTERACTIVE, 0), is(true));
    assertThat(queue.remove(Priority.INTERACTIVE, 0), is(false));
    assertThat(queue.poll(NANOS_PER_MILLI).next(), is(Optional.empty()));
  }

  @Test
  void staysWithinTheOverloadBoundWhileNothingDeparts() {
    for (int millis = 0; millis < 400; millis++) {
      offer(millis * NANOS_PER_MILLI, Priority.INTERACTIVE);
    }
    assertThat(queue.size(), greaterThanOrEqualTo(1));
    assertThat(queue.size(), lessThan(50));
  }

  /** Offers two requests for each that departs, for one second; returns the time of the last. */
  private long overload() {
    long now = 0;
    for (int millis = 0; millis < 1_000; millis++) {
      now = millis * NANOS_PER_MILLI;
      offer(now, Priority.INTERACTIVE);
      if (millis % 2 == 0) {
        queue.poll(now);
      }
    }
    return now;
  }

  private OfferResult offer(long nowNanos, Priority priority) {
    return offer(nowNanos, priority, nowNanos + DEADLINE_NANOS);
  }

  private OfferResult offer(long nowNanos, Priority priority, long deadlineNanos) {
    return queue.offer(nowNanos, request(nowNanos, priority, deadlineNanos));
  }

  private QueuedRequest request(long nowNanos, Priority priority, long deadlineNanos) {
    return new QueuedRequest(nextId++, priority, nowNanos, deadlineNanos);
  }

  private List<Long> pollIds(long nowNanos, int count) {
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
