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
  private static final int MIN_URGENT_ENTRIES = 4;
  private static final double TARGET_SERVICE_TIMES = 2;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final Comparator<Waiting> BY_DEADLINE =
      Comparator.comparingLong(Waiting::deadlineNanos).thenComparingLong(Waiting::requestId);

  private final QueueSettings settings;
  private final Lane nonIdempotent = new Lane(0);
  private final Lane interactive;
  private final Lane batch;
  private final NavigableSet<Waiting> byDeadline = new TreeSet<>(BY_DEADLINE);
  private final DepartureRate departures = new DepartureRate();
  private final OverloadDetector detector;
  private final LaneChoice laneChoice;
  private final RetryAfter retryAfter;

  /** Creates an empty queue whose times to come back are drawn from {@code random}. */
  public RequestQueue(
      QueueSettings settings, RetryAfterSettings retrySettings, RandomGenerator random) {
    this.settings = settings;
    this.detector = new OverloadDetector(settings.overloadAfterNanos());
    this.interactive = new Lane(settings.interactiveShare());
    this.batch = new Lane(settings.batchShare());
    this.laneChoice = new LaneChoice(List.of(nonIdempotent, interactive, batch));
    this.retryAfter = new RetryAfter(retrySettings, random);
  }

  /** Offers a request that has to wait. */
  public OfferResult offer(long nowNanos, Waiting waiting) {
    advance(nowNanos);
    List<Refusal> displaced = removeLate(nowNanos);
    if (!canFinish(nowNanos, waiting)) {
      return new OfferResult.Refused(
          refuse(nowNanos, waiting, RefusalReason.DEADLINE_TOO_SHORT), displaced);
    }
    if (waiting.priority() == Priority.BATCH && batch.size() >= settings.maxBatchEntries()) {
      return new OfferResult.Refused(
          refuse(nowNanos, waiting, RefusalReason.QUEUE_FULL), displaced);
    }
    add(waiting);
    trimUrgent(nowNanos, displaced);
    return contains(waiting) ? new OfferResult.Queued(displaced) : refusedAmong(displaced, waiting);
  }

  /** Returns the request that {@link #poll} would return right after {@link #expire}. */
  public Optional<Waiting> peek(long nowNanos) {
    advance(nowNanos);
    return laneChoice.choose().map(lane -> next(nowNanos, lane));
  }

  /** Removes the request that runs next, and those that can't finish in time. */
  public PollResult poll(long nowNanos) {
    advance(nowNanos);
    List<Refusal> expired = removeLate(nowNanos);
    Optional<Lane> lane = laneChoice.choose();
    Optional<Waiting> next = lane.map(chosen -> next(nowNanos, chosen));
    lane.ifPresent(laneChoice::recordTurn);
    next.ifPresent(this::depart);
    return new PollResult(next, expired);
  }

  /** Removes and refuses the requests that can't finish in time or lie past the bound. */
  public List<Refusal> expire(long nowNanos) {
    advance(nowNanos);
    List<Refusal> expired = removeLate(nowNanos);
    trimUrgent(nowNanos, expired);
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
    Waiting waiting = lane(priority).get(requestId);
    if (waiting == null) {
      return false;
    }
    remove(waiting);
    return true;
  }

  /** Takes in the latency of an answered request. */
  public void observeLatency(long nowNanos, Priority priority, long latencyNanos) {
    lane(priority).serviceTime().observe(nowNanos, latencyNanos);
  }

  /** Returns when a caller that is refused for another reason may come back. */
  public long retryAfterMillis(long nowNanos) {
    return retryAfter.nextMillis(nowNanos, departures.perSecond());
  }

  /** Returns the number of requests that wait. */
  public int size() {
    return byDeadline.size();
  }

  /** Returns the number of requests of {@code priority} that wait. */
  public int size(Priority priority) {
    return lane(priority).size();
  }

  /** Returns how long a request of {@code priority} that arrives now would wait. */
  public long expectedWaitNanos(long nowNanos, Priority priority) {
    return (long) waitOf(nowNanos, priority);
  }

  /** Returns whether more requests arrive than the endpoints can work off. */
  public boolean isOverloaded(long nowNanos) {
    return detector.isOverloaded(nowNanos);
  }

  private void depart(Waiting waiting) {
    remove(waiting);
    departures.recordDeparture();
  }

  private void advance(long nowNanos) {
    departures.advance(nowNanos, !byDeadline.isEmpty());
    detector.observe(nowNanos, waitNanos(urgentSize()), targetWaitNanos(nowNanos) / 2);
  }

  private boolean canFinish(long nowNanos, Waiting waiting) {
    double startNanos = nowNanos + waitOf(nowNanos, waiting.priority());
    return startNanos <= latestStartNanos(nowNanos, waiting);
  }

  private double waitOf(long nowNanos, Priority priority) {
    boolean overloaded = detector.isOverloaded(nowNanos);
    return switch (priority) {
      case NON_IDEMPOTENT -> overloaded ? 0 : waitNanos(nonIdempotent.size());
      case INTERACTIVE -> waitNanos(overloaded ? nonIdempotent.size() : urgentSize());
      case BATCH -> overloaded ? batchWaitNanos() : waitNanos(size());
    };
  }

  private double batchWaitNanos() {
    return waitNanos(batch.size()) / settings.batchShare();
  }

  private double waitNanos(int ahead) {
    return ahead == 0 ? 0 : ahead * NANOS_PER_SECOND / departures.perSecond();
  }

  private double targetWaitNanos(long nowNanos) {
    double typicalNanos =
        Math.max(
            nonIdempotent.serviceTime().typicalNanos(nowNanos),
            interactive.serviceTime().typicalNanos(nowNanos));
    return Math.max((double) settings.minTargetWaitNanos(), TARGET_SERVICE_TIMES * typicalNanos);
  }

  private long latestStartNanos(long nowNanos, Waiting waiting) {
    ServiceTime serviceTime = lane(waiting.priority()).serviceTime();
    return waiting.deadlineNanos() - serviceTime.typicalNanos(nowNanos);
  }

  private List<Refusal> removeLate(long nowNanos) {
    List<Refusal> late = new ArrayList<>(0);
    while (!byDeadline.isEmpty() && latestStartNanos(nowNanos, byDeadline.first()) < nowNanos) {
      late.add(displace(nowNanos, byDeadline.first(), RefusalReason.DEADLINE_PASSED));
    }
    return late;
  }

  private void trimUrgent(long nowNanos, List<Refusal> displaced) {
    int bound = urgentBound(nowNanos);
    while (urgentSize() > bound) {
      displaced.add(displace(nowNanos, oldestLeastImportant(), RefusalReason.DISPLACED));
    }
  }

  private int urgentBound(long nowNanos) {
    if (!detector.isOverloaded(nowNanos)) {
      return settings.maxUrgentEntries();
    }
    double within = departures.perSecond() * targetWaitNanos(nowNanos) / NANOS_PER_SECOND;
    return (int) Math.min(settings.maxUrgentEntries(), Math.max(MIN_URGENT_ENTRIES, within));
  }

  private Waiting oldestLeastImportant() {
    return interactive.isEmpty() ? nonIdempotent.oldest() : interactive.oldest();
  }

  private Waiting next(long nowNanos, Lane lane) {
    boolean newestFirst = lane != batch && detector.isOverloaded(nowNanos);
    return newestFirst ? lane.newest() : lane.oldest();
  }

  private Refusal displace(long nowNanos, Waiting waiting, RefusalReason reason) {
    remove(waiting);
    return refuse(nowNanos, waiting, reason);
  }

  private Refusal refuse(long nowNanos, Waiting waiting, RefusalReason reason) {
    return new Refusal(waiting, reason, retryAfterMillis(nowNanos));
  }

  private static OfferResult refusedAmong(List<Refusal> displaced, Waiting waiting) {
    int index = Iterables.indexOf(displaced, refusal -> refusal.waiting().equals(waiting));
    long retryAfterMillis = displaced.remove(index).retryAfterMillis();
    return new OfferResult.Refused(
        new Refusal(waiting, RefusalReason.QUEUE_FULL, retryAfterMillis), displaced);
  }

  private void add(Waiting waiting) {
    Preconditions.checkArgument(
        lane(waiting.priority()).add(waiting), "waits already: %s", waiting);
    byDeadline.add(waiting);
  }

  private void remove(Waiting waiting) {
    lane(waiting.priority()).remove(waiting.requestId());
    byDeadline.remove(waiting);
  }

  private boolean contains(Waiting waiting) {
    return lane(waiting.priority()).get(waiting.requestId()) != null;
  }

  private Lane lane(Priority priority) {
    return switch (priority) {
      case NON_IDEMPOTENT -> nonIdempotent;
      case INTERACTIVE -> interactive;
      case BATCH -> batch;
    };
  }

  private int urgentSize() {
    return nonIdempotent.size() + interactive.size();
  }
}
