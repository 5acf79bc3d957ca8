package org.mustardstage.entry.control;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.core.overload.OfferResult;
import org.mustardstage.core.overload.PollResult;
import org.mustardstage.core.overload.QueueSettings;
import org.mustardstage.core.overload.QueuedRequest;
import org.mustardstage.core.overload.Rejection;
import org.mustardstage.core.overload.RejectionReason;
import org.mustardstage.core.overload.RequestQueue;
import org.mustardstage.core.overload.RetryAfterSettings;
import org.mustardstage.core.overload.RetryBudget;
import org.mustardstage.core.permit.AcquireRequest;
import org.mustardstage.core.permit.LimitId;
import org.mustardstage.core.permit.Permit;
import org.mustardstage.core.permit.PermitRejectionReason;

/**
 * Admits the requests of one service. Requests wait in the queue; for those that wait, permits are
 * asked for without saying for whom, and each permit that comes goes to the request that the queue
 * puts first at that moment. Used on the control thread only.
 */
final class ServiceAdmission {
  private static final int MAX_ACQUIRES = 256;
  private static final long RETRY_ACQUIRE_NANOS = Duration.ofMillis(20).toNanos();

  private final PermitDriver permits;
  private final LongSupplier clock;
  private final LongSupplier ids;
  private final Candidates candidates;
  private final RequestQueue queue;
  private final RetryBudget retryBudget = RetryBudget.ofTenPercent();
  private final Map<Long, Pending> pending = new HashMap<>();
  private final Deque<Long> acquires = new ArrayDeque<>();
  private long acquireAgainNanos = Long.MIN_VALUE / 2;

  /** Gives the endpoints that a request may be sent to. */
  interface Candidates {
    /** Returns endpoints in order of preference, none that is in {@code request}'s avoid set. */
    List<Endpoint> of(long nowNanos, AdmissionRequest request, long expectedWaitNanos);

    /** Returns the endpoint that {@code limit} belongs to, unless it gets no new work. */
    Optional<Endpoint> findUsable(LimitId limit);
  }

  /** A request that waits, and whom to tell. */
  private record Pending(
      AdmissionRequest request, QueuedRequest waiting, Consumer<AdmissionDecision> callback) {}

  ServiceAdmission(
      PermitDriver permits,
      LongSupplier clock,
      LongSupplier ids,
      Candidates candidates,
      RandomGenerator random) {
    this.permits = permits;
    this.clock = clock;
    this.ids = ids;
    this.candidates = candidates;
    this.queue = new RequestQueue(QueueSettings.DEFAULT, RetryAfterSettings.DEFAULT, random);
  }

  RequestQueue queue() {
    return queue;
  }

  void admit(AdmissionRequest request, Consumer<AdmissionDecision> callback) {
    long nowNanos = clock.getAsLong();
    if (request.attempt() > 0) {
      admitRetry(nowNanos, request, callback);
      return;
    }
    retryBudget.recordFirstAttempt();
    long id = ids.getAsLong();
    QueuedRequest waiting =
        new QueuedRequest(id, request.call().priority(), nowNanos, request.deadlineNanos());
    pending.put(id, new Pending(request, waiting, callback));
    switch (queue.offer(nowNanos, waiting)) {
      case OfferResult.Queued queued -> queued.displaced().forEach(this::refuse);
      case OfferResult.Rejected refused -> {
        refused.displaced().forEach(this::refuse);
        refuse(refused.rejection());
      }
    }
    acquireForWaiting(nowNanos);
  }

  private void admitRetry(
      long nowNanos, AdmissionRequest request, Consumer<AdmissionDecision> callback) {
    if (!retryBudget.tryAcquire()) {
      callback.accept(refused(nowNanos, RejectionReason.RETRY_BUDGET_SPENT));
      return;
    }
    List<Endpoint> endpoints = candidates.of(nowNanos, request, oldestWaitNanos(nowNanos));
    if (endpoints.isEmpty()) {
      callback.accept(refused(nowNanos, RejectionReason.NO_ENDPOINT));
      return;
    }
    long useId = ids.getAsLong();
    permits.acquire(
        acquireRequest(useId, endpoints, request.deadlineNanos()),
        new PermitDriver.Consumer() {
          @Override
          public void onGranted(Permit permit, long useUntilNanos) {
            grant(useId, permit, useUntilNanos, callback);
          }

          @Override
          public void onNotGranted(PermitRejectionReason reason) {
            callback.accept(refused(clock.getAsLong(), RejectionReason.NO_ENDPOINT));
          }
        });
  }

  private static AcquireRequest acquireRequest(
      long useId, List<Endpoint> endpoints, long deadlineNanos) {
    List<LimitId> limits =
        endpoints.stream().map(endpoint -> LimitId.slotsOf(endpoint.id())).toList();
    return new AcquireRequest(useId, limits, deadlineNanos, deadlineNanos);
  }

  private AdmissionDecision refused(long nowNanos, RejectionReason reason) {
    return new AdmissionDecision.Rejected(reason, queue.retryAfterMillis(nowNanos));
  }

  private void refuse(Rejection refusal) {
    Pending refused = pending.remove(refusal.request().requestId());
    if (refused != null) {
      refused
          .callback()
          .accept(new AdmissionDecision.Rejected(refusal.reason(), refusal.retryAfterMillis()));
    }
  }

  private void acquireForWaiting(long nowNanos) {
    while (acquires.size() < Math.min(MAX_ACQUIRES, queue.size())
        && nowNanos >= acquireAgainNanos) {
      Optional<Pending> next =
          queue.peek(nowNanos).map(waiting -> pending.get(waiting.requestId()));
      if (next.isEmpty() || !acquireFor(nowNanos, next.get())) {
        return;
      }
    }
  }

  private boolean acquireFor(long nowNanos, Pending next) {
    List<Endpoint> endpoints = candidates.of(nowNanos, next.request(), oldestWaitNanos(nowNanos));
    if (endpoints.isEmpty()) {
      refuseAllWaiting(nowNanos);
      return false;
    }
    long useId = ids.getAsLong();
    acquires.addLast(useId);
    permits.acquire(
        acquireRequest(useId, endpoints, next.waiting().deadlineNanos()),
        new PermitDriver.Consumer() {
          @Override
          public void onGranted(Permit permit, long useUntilNanos) {
            acquires.remove(useId);
            grantToNext(useId, permit, useUntilNanos);
          }

          @Override
          public void onNotGranted(PermitRejectionReason reason) {
            acquires.remove(useId);
            acquireAgainNanos = clock.getAsLong() + RETRY_ACQUIRE_NANOS;
          }
        });
    return true;
  }

  /** Returns how long the requests ahead have waited, the best guess of the wait to come. */
  private long oldestWaitNanos(long nowNanos) {
    return queue.peek(nowNanos).map(next -> nowNanos - next.arrivalNanos()).orElse(0L);
  }

  private void refuseAllWaiting(long nowNanos) {
    for (Pending waiting : ImmutableList.copyOf(pending.values())) {
      queue.remove(waiting.waiting().priority(), waiting.waiting().requestId());
      pending.remove(waiting.waiting().requestId());
      waiting.callback().accept(refused(nowNanos, RejectionReason.NO_ENDPOINT));
    }
  }

  private void grantToNext(long useId, Permit permit, long useUntilNanos) {
    if (candidates.findUsable(permit.limit()).isEmpty()) {
      permits.release(useId, /* slotIsFree= */ true);
      acquireForWaiting(clock.getAsLong());
      return;
    }
    PollResult polled = queue.poll(clock.getAsLong());
    polled.expired().forEach(this::refuse);
    Optional<Pending> next = polled.next().map(waiting -> pending.remove(waiting.requestId()));
    if (next.isEmpty()) {
      permits.release(useId, /* slotIsFree= */ true);
      return;
    }
    grant(useId, permit, useUntilNanos, next.get().callback());
  }

  private void grant(
      long useId, Permit permit, long useUntilNanos, Consumer<AdmissionDecision> callback) {
    Optional<Endpoint> endpoint = candidates.findUsable(permit.limit());
    if (endpoint.isEmpty()) {
      permits.release(useId, /* slotIsFree= */ true);
      callback.accept(refused(clock.getAsLong(), RejectionReason.NO_ENDPOINT));
      return;
    }
    callback.accept(new AdmissionDecision.Admitted(endpoint.get(), useId, useUntilNanos));
  }

  /** Refuses what can't finish in time and asks for permits for what waits. */
  void onTick(long nowNanos) {
    queue.expire(nowNanos).forEach(this::refuse);
    while (acquires.size() > queue.size()) {
      permits.abandon(acquires.removeLast());
    }
    acquireForWaiting(nowNanos);
  }
}
