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
 * The requests of one service that wait for an endpoint, at one entry VM.
 *
 * <p>A request that can't finish in time is refused at once. Requests run in the order in which
 * they came; when the service is overloaded, the queue is kept as short as the endpoints can work
 * off within the target wait, the newest request runs first and the oldest loses its place at once.
 * Batch requests have a bound of their own, run in order and always keep a small share of turns.
 */
public final class RequestQueue {
  private static final int MIN_OVERLOADED_BOUND = 4;
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

  /** Creates an empty queue whose times to come back are drawn from {@code random}. */
  public RequestQueue(
      QueueSettings settings, RetryAfterSettings retrySettings, RandomGenerator random) {
    this.settings = settings;
    this.overloadDetector = new OverloadDetector(settings.overloadAfterNanos());
    this.interactive = new PriorityLevelQueue(settings.minInteractiveShare());
    this.batch = new PriorityLevelQueue(settings.minBatchShare());
    this.scheduler = new PriorityScheduler(List.of(nonIdempotent, interactive, batch));
    this.retryAfter = new RetryAfterScheduler(retrySettings, random);
  }

  /** Offers a request that has to wait. */
  public OfferResult offer(long nowNanos, QueuedRequest waiting) {
    updateEstimates(nowNanos);
    List<Rejection> displaced = removeExpired(nowNanos);
    if (!canMeetDeadline(nowNanos, waiting)) {
      return new OfferResult.Rejected(
          reject(nowNanos, waiting, RejectionReason.DEADLINE_TOO_SHORT), displaced);
    }
    if (waiting.priority() == Priority.BATCH && batch.size() >= settings.maxBatchEntries()) {
      return new OfferResult.Rejected(
          reject(nowNanos, waiting, RejectionReason.QUEUE_FULL), displaced);
    }
    add(waiting);
    displaceExcessNonBatch(nowNanos, displaced);
    return contains(waiting)
        ? new OfferResult.Queued(displaced)
        : rejectedFromDisplaced(displaced, waiting);
  }

  /** Returns the request that {@link #poll} would return right after {@link #expire}. */
  public Optional<QueuedRequest> peek(long nowNanos) {
    updateEstimates(nowNanos);
    return scheduler.selectNext().map(lane -> next(nowNanos, lane));
  }

  /** Removes the request that runs next, and those that can't finish in time. */
  public PollResult poll(long nowNanos) {
    updateEstimates(nowNanos);
    List<Rejection> expired = removeExpired(nowNanos);
    Optional<PriorityLevelQueue> lane = scheduler.selectNext();
    Optional<QueuedRequest> next = lane.map(chosen -> next(nowNanos, chosen));
    lane.ifPresent(scheduler::recordDeparture);
    next.ifPresent(this::depart);
    return new PollResult(next, expired);
  }

  /** Removes and refuses the requests that can't finish in time or lie past the bound. */
  public List<Rejection> expire(long nowNanos) {
    updateEstimates(nowNanos);
    List<Rejection> expired = removeExpired(nowNanos);
    displaceExcessNonBatch(nowNanos, expired);
    return expired;
  }

  /** Returns the time from which {@link #expire} has something to do, if nothing changes. */
  public OptionalLong nextExpiryNanos(long nowNanos) {
    return byDeadline.isEmpty()
        ? OptionalLong.empty()
        : OptionalLong.of(latestStartNanos(nowNanos, byDeadline.first()));
  }

  /** Removes a request whose caller left; returns whether it waited. */
  public boolean remove(Priority priority, long requestId) {
    QueuedRequest waiting = levelOf(priority).get(requestId);
    if (waiting == null) {
      return false;
    }
    remove(waiting);
    return true;
  }

  /** Takes in the latency of an answered request. */
  public void recordLatency(long nowNanos, Priority priority, long latencyNanos) {
    levelOf(priority).serviceTime().recordLatency(nowNanos, latencyNanos);
  }

  /** Returns when a caller that is refused for another reason may come back. */
  public long retryAfterMillis(long nowNanos) {
    return retryAfter.nextMillis(nowNanos, departureRate.perSecond());
  }

  /** Returns the number of requests that wait. */
  public int size() {
    return byDeadline.size();
  }

  /** Returns the number of requests of {@code priority} that wait. */
  public int size(Priority priority) {
    return levelOf(priority).size();
  }

  /** Returns how long a request of {@code priority} that arrives now would wait. */
  public long expectedWaitNanos(long nowNanos, Priority priority) {
    return (long) estimateWaitNanos(nowNanos, priority);
  }

  /** Returns whether more requests arrive than the endpoints can work off. */
  public boolean isOverloaded(long nowNanos) {
    return overloadDetector.isOverloaded(nowNanos);
  }

  private void depart(QueuedRequest waiting) {
    remove(waiting);
    departureRate.recordDeparture();
  }

  private void updateEstimates(long nowNanos) {
    departureRate.advance(nowNanos, !byDeadline.isEmpty());
    overloadDetector.update(nowNanos, waitNanos(nonBatchSize()), targetWaitNanos(nowNanos) / 2);
  }

  private boolean canMeetDeadline(long nowNanos, QueuedRequest waiting) {
    double startNanos = nowNanos + estimateWaitNanos(nowNanos, waiting.priority());
    return startNanos <= latestStartNanos(nowNanos, waiting);
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
    double typicalNanos =
        Math.max(
            nonIdempotent.serviceTime().estimateNanos(nowNanos),
            interactive.serviceTime().estimateNanos(nowNanos));
    return Math.max(
        (double) settings.minTargetWaitNanos(), TARGET_WAIT_IN_SERVICE_TIMES * typicalNanos);
  }

  private long latestStartNanos(long nowNanos, QueuedRequest waiting) {
    ServiceTimeEstimator serviceTime = levelOf(waiting.priority()).serviceTime();
    return waiting.deadlineNanos() - serviceTime.estimateNanos(nowNanos);
  }

  private List<Rejection> removeExpired(long nowNanos) {
    List<Rejection> late = new ArrayList<>(0);
    while (!byDeadline.isEmpty() && latestStartNanos(nowNanos, byDeadline.first()) < nowNanos) {
      late.add(removeAndReject(nowNanos, byDeadline.first(), RejectionReason.DEADLINE_PASSED));
    }
    return late;
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
    double within = departureRate.perSecond() * targetWaitNanos(nowNanos) / NANOS_PER_SECOND;
    return (int) Math.min(settings.maxNonBatchEntries(), Math.max(MIN_OVERLOADED_BOUND, within));
  }

  private QueuedRequest oldestOfLowestNonBatchPriority() {
    return interactive.isEmpty() ? nonIdempotent.oldest() : interactive.oldest();
  }

  private QueuedRequest next(long nowNanos, PriorityLevelQueue lane) {
    boolean newestFirst = lane != batch && overloadDetector.isOverloaded(nowNanos);
    return newestFirst ? lane.newest() : lane.oldest();
  }

  private Rejection removeAndReject(long nowNanos, QueuedRequest waiting, RejectionReason reason) {
    remove(waiting);
    return reject(nowNanos, waiting, reason);
  }

  private Rejection reject(long nowNanos, QueuedRequest waiting, RejectionReason reason) {
    return new Rejection(waiting, reason, retryAfterMillis(nowNanos));
  }

  private static OfferResult rejectedFromDisplaced(
      List<Rejection> displaced, QueuedRequest waiting) {
    int index = Iterables.indexOf(displaced, refusal -> refusal.request().equals(waiting));
    long retryAfterMillis = displaced.remove(index).retryAfterMillis();
    return new OfferResult.Rejected(
        new Rejection(waiting, RejectionReason.QUEUE_FULL, retryAfterMillis), displaced);
  }

  private void add(QueuedRequest waiting) {
    Preconditions.checkArgument(
        levelOf(waiting.priority()).add(waiting), "waits already: %s", waiting);
    byDeadline.add(waiting);
  }

  private void remove(QueuedRequest waiting) {
    levelOf(waiting.priority()).remove(waiting.requestId());
    byDeadline.remove(waiting);
  }

  private boolean contains(QueuedRequest waiting) {
    return levelOf(waiting.priority()).get(waiting.requestId()) != null;
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
