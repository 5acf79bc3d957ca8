package org.mustardstage.core.overload;

import com.google.common.base.Preconditions;
import com.google.common.collect.Iterables;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import org.mustardstage.core.manifest.Priority;

/**
 * The queue in which the requests of one service wait for an endpoint, at one entry VM.
 *
 * <p>A request that can't finish before its deadline is rejected at once. Requests run by priority,
 * and in order of arrival within a priority. While the service is overloaded, non-idempotent and
 * interactive requests run newest first, and only as many are kept as the endpoints can start
 * within the target wait: beyond that, the oldest of the lower priority are displaced at once.
 * Batch requests have a limit of their own, always run in order of arrival, and always get a
 * minimum share of departures.
 */
public final class RequestQueue {
  private static final int MIN_OVERLOADED_ENTRIES = 4;
  private static final double TARGET_WAIT_IN_SERVICE_TIMES = 2;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final Comparator<QueuedRequest> BY_DEADLINE =
      Comparator.comparingLong(QueuedRequest::deadlineNanos)
          .thenComparingLong(QueuedRequest::requestId);

  private final QueueSettings settings;
  private final PriorityLevelQueue nonIdempotent = new PriorityLevelQueue(0);
  private final PriorityLevelQueue interactive;
  private final PriorityLevelQueue batch;
  private final NavigableSet<QueuedRequest> byDeadline = new TreeSet<>(BY_DEADLINE);
  private final DepartureRateEstimator departureRate = new DepartureRateEstimator();
  private final OverloadDetector overloadDetector;
  private final PriorityScheduler scheduler;
  private final RetryAfterScheduler retryAfter;

  /** Creates an empty queue that draws the jitter of retry times from {@code random}. */
  public RequestQueue(
      QueueSettings settings, RetryAfterSettings retrySettings, RandomGenerator random) {
    this.settings = settings;
    this.overloadDetector = new OverloadDetector(settings.overloadAfterNanos());
    this.interactive = new PriorityLevelQueue(settings.minInteractiveShare());
    this.batch = new PriorityLevelQueue(settings.minBatchShare());
    this.scheduler = new PriorityScheduler(List.of(nonIdempotent, interactive, batch));
    this.retryAfter = new RetryAfterScheduler(retrySettings, random);
  }

  /** Adds a request to the queue, or rejects it when it can't finish in time or doesn't fit. */
  public OfferResult offer(long nowNanos, QueuedRequest request) {
    updateEstimates(nowNanos);
    List<Rejection> displaced = removeExpired(nowNanos);
    if (!canMeetDeadline(nowNanos, request)) {
      return new OfferResult.Rejected(
          reject(nowNanos, request, RejectionReason.DEADLINE_TOO_SHORT), displaced);
    }
    if (request.priority() == Priority.BATCH && batch.size() >= settings.maxBatchEntries()) {
      return new OfferResult.Rejected(
          reject(nowNanos, request, RejectionReason.QUEUE_FULL), displaced);
    }
    add(request);
    displaceExcessNonBatch(nowNanos, displaced);
    return contains(request)
        ? new OfferResult.Queued(displaced)
        : rejectedFromDisplaced(displaced, request);
  }

  /**
   * Returns the request that {@link #poll} would remove next. Call {@link #expire} first, since
   * expired requests are not skipped here.
   */
  public Optional<QueuedRequest> peek(long nowNanos) {
    updateEstimates(nowNanos);
    return scheduler.selectNext().map(level -> next(nowNanos, level));
  }

  /** Removes the request that runs next, and those that can't finish before their deadline. */
  public PollResult poll(long nowNanos) {
    updateEstimates(nowNanos);
    List<Rejection> expired = removeExpired(nowNanos);
    Optional<PriorityLevelQueue> level = scheduler.selectNext();
    Optional<QueuedRequest> next = level.map(chosen -> next(nowNanos, chosen));
    level.ifPresent(scheduler::recordDeparture);
    next.ifPresent(this::depart);
    return new PollResult(next, expired);
  }

  /** Removes and rejects requests that can't finish before their deadline or exceed the limit. */
  public List<Rejection> expire(long nowNanos) {
    updateEstimates(nowNanos);
    List<Rejection> expired = removeExpired(nowNanos);
    displaceExcessNonBatch(nowNanos, expired);
    return expired;
  }

  /** Returns when the next request expires, if the queue and its estimates don't change. */
  public OptionalLong nextExpiryNanos(long nowNanos) {
    return byDeadline.isEmpty()
        ? OptionalLong.empty()
        : OptionalLong.of(latestStartNanos(nowNanos, byDeadline.first()));
  }

  /** Removes a request whose caller disconnected; returns whether it was queued. */
  public boolean remove(Priority priority, long requestId) {
    QueuedRequest request = levelOf(priority).get(requestId);
    if (request == null) {
      return false;
    }
    remove(request);
    return true;
  }

  /** Adds the latency of a response to the service time estimate of its priority. */
  public void recordLatency(long nowNanos, Priority priority, long latencyNanos) {
    levelOf(priority).serviceTime().recordLatency(nowNanos, latencyNanos);
  }

  /** Returns the retry delay for a caller whose request is rejected outside of this queue. */
  public long retryAfterMillis(long nowNanos) {
    return retryAfter.nextMillis(nowNanos, departureRate.perSecond());
  }

  /** Returns the number of queued requests. */
  public int size() {
    return byDeadline.size();
  }

  /** Returns the number of queued requests of {@code priority}. */
  public int size(Priority priority) {
    return levelOf(priority).size();
  }

  /** Returns how long a request of {@code priority} that arrives now would wait. */
  public long expectedWaitNanos(long nowNanos, Priority priority) {
    return (long) estimateWaitNanos(nowNanos, priority);
  }

  /** Returns whether the wait has been too high for long enough to count as overload. */
  public boolean isOverloaded(long nowNanos) {
    return overloadDetector.isOverloaded(nowNanos);
  }

  private void depart(QueuedRequest request) {
    remove(request);
    departureRate.recordDeparture();
  }

  private void updateEstimates(long nowNanos) {
    departureRate.advance(nowNanos, !byDeadline.isEmpty());
    overloadDetector.update(nowNanos, waitNanos(nonBatchSize()), targetWaitNanos(nowNanos) / 2);
  }

  private boolean canMeetDeadline(long nowNanos, QueuedRequest request) {
    double startNanos = nowNanos + estimateWaitNanos(nowNanos, request.priority());
    return startNanos <= latestStartNanos(nowNanos, request);
  }

  private double estimateWaitNanos(long nowNanos, Priority priority) {
    boolean overloaded = overloadDetector.isOverloaded(nowNanos);
    return switch (priority) {
      case NON_IDEMPOTENT -> overloaded ? 0 : waitNanos(nonIdempotent.size());
      case INTERACTIVE -> waitNanos(overloaded ? nonIdempotent.size() : nonBatchSize());
      case BATCH -> overloaded ? overloadedBatchWaitNanos() : waitNanos(size());
    };
  }

  private double overloadedBatchWaitNanos() {
    return waitNanos(batch.size()) / settings.minBatchShare();
  }

  private double waitNanos(int ahead) {
    return ahead == 0 ? 0 : ahead * NANOS_PER_SECOND / departureRate.perSecond();
  }

  private double targetWaitNanos(long nowNanos) {
    double serviceNanos =
        Math.max(
            nonIdempotent.serviceTime().estimateNanos(nowNanos),
            interactive.serviceTime().estimateNanos(nowNanos));
    return Math.max(
        (double) settings.minTargetWaitNanos(), TARGET_WAIT_IN_SERVICE_TIMES * serviceNanos);
  }

  private long latestStartNanos(long nowNanos, QueuedRequest request) {
    ServiceTimeEstimator serviceTime = levelOf(request.priority()).serviceTime();
    return request.deadlineNanos() - serviceTime.estimateNanos(nowNanos);
  }

  private List<Rejection> removeExpired(long nowNanos) {
    List<Rejection> expired = new ArrayList<>(0);
    while (!byDeadline.isEmpty() && latestStartNanos(nowNanos, byDeadline.first()) < nowNanos) {
      expired.add(removeAndReject(nowNanos, byDeadline.first(), RejectionReason.DEADLINE_PASSED));
    }
    return expired;
  }

  private void displaceExcessNonBatch(long nowNanos, List<Rejection> displaced) {
    int bound = nonBatchBound(nowNanos);
    while (nonBatchSize() > bound) {
      displaced.add(
          removeAndReject(nowNanos, oldestOfLowestNonBatchPriority(), RejectionReason.DISPLACED));
    }
  }

  private int nonBatchBound(long nowNanos) {
    if (!overloadDetector.isOverloaded(nowNanos)) {
      return settings.maxNonBatchEntries();
    }
    double withinTarget = departureRate.perSecond() * targetWaitNanos(nowNanos) / NANOS_PER_SECOND;
    return (int)
        Math.min(settings.maxNonBatchEntries(), Math.max(MIN_OVERLOADED_ENTRIES, withinTarget));
  }

  private QueuedRequest oldestOfLowestNonBatchPriority() {
    return interactive.isEmpty() ? nonIdempotent.oldest() : interactive.oldest();
  }

  private QueuedRequest next(long nowNanos, PriorityLevelQueue level) {
    boolean newestFirst = level != batch && overloadDetector.isOverloaded(nowNanos);
    return newestFirst ? level.newest() : level.oldest();
  }

  private Rejection removeAndReject(long nowNanos, QueuedRequest request, RejectionReason reason) {
    remove(request);
    return reject(nowNanos, request, reason);
  }

  private Rejection reject(long nowNanos, QueuedRequest request, RejectionReason reason) {
    return new Rejection(request, reason, retryAfterMillis(nowNanos));
  }

  private static OfferResult rejectedFromDisplaced(
      List<Rejection> displaced, QueuedRequest request) {
    int index = Iterables.indexOf(displaced, rejection -> rejection.request().equals(request));
    long retryAfterMillis = displaced.remove(index).retryAfterMillis();
    return new OfferResult.Rejected(
        new Rejection(request, RejectionReason.QUEUE_FULL, retryAfterMillis), displaced);
  }

  private void add(QueuedRequest request) {
    Preconditions.checkArgument(
        levelOf(request.priority()).add(request), "request is already queued: %s", request);
    byDeadline.add(request);
  }

  private void remove(QueuedRequest request) {
    levelOf(request.priority()).remove(request.requestId());
    byDeadline.remove(request);
  }

  private boolean contains(QueuedRequest request) {
    return levelOf(request.priority()).get(request.requestId()) != null;
  }

  private PriorityLevelQueue levelOf(Priority priority) {
    return switch (priority) {
      case NON_IDEMPOTENT -> nonIdempotent;
      case INTERACTIVE -> interactive;
      case BATCH -> batch;
    };
  }

  private int nonBatchSize() {
    return nonIdempotent.size() + interactive.size();
  }
}
