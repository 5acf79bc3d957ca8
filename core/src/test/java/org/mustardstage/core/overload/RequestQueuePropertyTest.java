package org.mustardstage.core.overload;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.mustardstage.core.manifest.Priority;

/**
 * Checks, against a set of the queued ids, that each request leaves the queue exactly once and that
 * none runs after its deadline. A request that is lost leaves its caller without a response, and
 * one that leaves twice is run or rejected twice.
 */
class RequestQueuePropertyTest {
  private static final List<Priority> PRIORITIES = List.of(Priority.values());
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final QueueSettings SMALL_QUEUE =
      new QueueSettings(8, 4, 0.1, 0.05, 5 * NANOS_PER_MILLI, 10 * NANOS_PER_MILLI);

  private final RequestQueue queue =
      new RequestQueue(SMALL_QUEUE, RetryAfterSettings.DEFAULT, new SplittableRandom(1));
  private final Set<Long> queuedIds = new HashSet<>();
  private long nowNanos;
  private long nextId;

  @Property(tries = 500, seed = "4401")
  void neverLosesOrDuplicatesAnEntry(
      @ForAll @Size(min = 1, max = 200) List<@IntRange(max = 1_199) Integer> steps) {
    for (int step : steps) {
      nowNanos += step % 7 * NANOS_PER_MILLI;
      apply(step % 12, step);
      assertThat(queue.size(), is(queuedIds.size()));
      assertThat(queue.size(), lessThanOrEqualTo(12));
    }
  }

  private void apply(int action, int step) {
    switch (action) {
      case 0, 1, 2, 3, 4, 5, 6 -> offer(step);
      case 7, 8 -> poll();
      case 9 -> queue.expire(nowNanos).forEach(this::recordRejection);
      case 10 -> queue.recordLatency(nowNanos, priority(step), step % 90 * NANOS_PER_MILLI);
      default -> removeRequestOfDisconnectedCaller(step);
    }
  }

  private void offer(int step) {
    long deadlineNanos = nowNanos + step % 101 * NANOS_PER_MILLI;
    QueuedRequest request = new QueuedRequest(nextId++, priority(step), nowNanos, deadlineNanos);
    queuedIds.add(request.requestId());
    OfferResult result = queue.offer(nowNanos, request);
    result.displaced().forEach(this::recordRejection);
    if (result instanceof OfferResult.Rejected rejected) {
      recordRejection(rejected.rejection());
    }
  }

  private void poll() {
    PollResult result = queue.poll(nowNanos);
    result.expired().forEach(this::recordRejection);
    result
        .next()
        .ifPresent(
            next -> {
              assertThat(queuedIds.remove(next.requestId()), is(true));
              assertThat(nowNanos, lessThanOrEqualTo(next.deadlineNanos()));
            });
  }

  private void recordRejection(Rejection rejection) {
    assertThat(queuedIds.remove(rejection.request().requestId()), is(true));
  }

  private void removeRequestOfDisconnectedCaller(int step) {
    long requestId = nextId - 1 - step % 5;
    boolean wasQueued = queuedIds.remove(requestId);
    boolean removed = false;
    for (Priority priority : PRIORITIES) {
      removed |= queue.remove(priority, requestId);
    }
    assertThat(removed, is(wasQueued));
  }

  private static Priority priority(int step) {
    return PRIORITIES.get(step / 12 % PRIORITIES.size());
  }
}
