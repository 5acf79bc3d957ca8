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

/** Each request leaves the queue exactly once, and never to run after it can't finish. */
class RequestQueuePropertyTest {
  private static final List<Priority> PRIORITIES = List.of(Priority.values());
  private static final long MILLI = 1_000_000;
  private static final QueueSettings SMALL =
      new QueueSettings(8, 4, 0.1, 0.05, 5 * MILLI, 10 * MILLI);

  private final RequestQueue queue =
      new RequestQueue(SMALL, RetryAfterSettings.DEFAULT, new SplittableRandom(1));
  private final Set<Long> waiting = new HashSet<>();
  private long nowNanos;
  private long nextId;

  @Property(tries = 500, seed = "4401")
  void neverLosesOrDuplicatesAnEntry(
      @ForAll @Size(min = 1, max = 200) List<@IntRange(max = 1_199) Integer> steps) {
    for (int step : steps) {
      nowNanos += step % 7 * MILLI;
      apply(step % 12, step);
      assertThat(queue.size(), is(waiting.size()));
      assertThat(queue.size(), lessThanOrEqualTo(12));
    }
  }

  private void apply(int action, int step) {
    switch (action) {
      case 0, 1, 2, 3, 4, 5, 6 -> offer(step);
      case 7, 8 -> poll();
      case 9 -> queue.expire(nowNanos).forEach(this::left);
      case 10 -> queue.recordLatency(nowNanos, priority(step), step % 90 * MILLI);
      default -> callerLeaves(step);
    }
  }

  private void offer(int step) {
    long deadlineNanos = nowNanos + step % 101 * MILLI;
    QueuedRequest offered = new QueuedRequest(nextId++, priority(step), nowNanos, deadlineNanos);
    waiting.add(offered.requestId());
    OfferResult result = queue.offer(nowNanos, offered);
    result.displaced().forEach(this::left);
    if (result instanceof OfferResult.Rejected refused) {
      left(refused.rejection());
    }
  }

  private void poll() {
    PollResult result = queue.poll(nowNanos);
    result.expired().forEach(this::left);
    result
        .next()
        .ifPresent(
            next -> {
              assertThat(waiting.remove(next.requestId()), is(true));
              assertThat(nowNanos, lessThanOrEqualTo(next.deadlineNanos()));
            });
  }

  private void left(Rejection refusal) {
    assertThat(waiting.remove(refusal.request().requestId()), is(true));
  }

  private void callerLeaves(int step) {
    long requestId = nextId - 1 - step % 5;
    boolean waited = waiting.remove(requestId);
    boolean removed = false;
    for (Priority priority : PRIORITIES) {
      removed |= queue.remove(priority, requestId);
    }
    assertThat(removed, is(waited));
  }

  private static Priority priority(int step) {
    return PRIORITIES.get(step / 12 % PRIORITIES.size());
  }
}
