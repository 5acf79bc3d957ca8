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
 * Admits the requests of one service. Requests wait in a queue. Permits are acquired for queued
 * requests without being bound to one of them: each granted permit goes to the request that is at
 * the head of the queue at that time. Retries bypass the queue and draw on the retry budget. Used
 * on the control thread only.
 */
final class ServiceAdmission {
  private static final int MAX_PENDING_ACQUIRES = 256;
  private static final long ACQUIRE_RETRY_DELAY_NANOS = Duration.ofMillis(20).toNanos();

  private final PermitDriver permits;
  private final LongSupplier clock;
  private final LongSupplier requestIds;
  private final CandidateEndpoints candidates;
  private final RequestQueue queue;
  private final RetryBudget retryBudget = RetryBudget.ofTenPercent();
  private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
  private final Deque<Long> pendingAcquires = new ArrayDeque<>();
  private long nextAcquireNanos = Long.MIN_VALUE / 2;

  /** Finds the endpoints to which requests of the service may be sent. */
  interface CandidateEndpoints {
    /** Returns endpoints that {@code request} does not exclude, in order of preference. */
    List<Endpoint> find(long nowNanos, AdmissionRequest request, long expectedWaitNanos);

    /** Returns the endpoint that {@code limit} applies to, unless it is unknown or draining. */
    Optional<Endpoint> findUsable(LimitId limit);
  }

  /** A queued request and the callback for its decision. */
  private record PendingRequest(
      AdmissionRequest request, QueuedRequest queued, Consumer<AdmissionDecision> callback) {}

  ServiceAdmission(
      PermitDriver permits,
      LongSupplier clock,
      LongSupplier requestIds,
      CandidateEndpoints candidates,
      RandomGenerator random) {
    this.permits = permits;
    this.clock = clock;
    this.requestIds = requestIds;
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
    long id = requestIds.getAsLong();
    QueuedRequest queued =
        new QueuedRequest(id, request.call().priority(), nowNanos, request.deadlineNanos());
    pendingRequests.put(id, new PendingRequest(request, queued, callback));
    switch (queue.offer(nowNanos, queued)) {
      case OfferResult.Queued offered -> offered.displaced().forEach(this::reject);
      case OfferResult.Rejected rejected -> {
        rejected.displaced().forEach(this::reject);
        reject(rejected.rejection());
      }
    }
    acquireForQueued(nowNanos);
  }

  private void admitRetry(
      long nowNanos, AdmissionRequest request, Consumer<AdmissionDecision> callback) {
    if (!retryBudget.tryAcquire()) {
      callback.accept(rejected(nowNanos, RejectionReason.RETRY_BUDGET_SPENT));
      return;
    }
    List<Endpoint> endpoints = candidates.find(nowNanos, request, oldestWaitNanos(nowNanos));
    if (endpoints.isEmpty()) {
      callback.accept(rejected(nowNanos, RejectionReason.NO_ENDPOINT));
      return;
    }
    long attemptId = requestIds.getAsLong();
    permits.acquire(
        acquireRequest(attemptId, endpoints, request.deadlineNanos()),
        new PermitDriver.AcquireCallback() {
          @Override
          public void onGranted(Permit permit, long useDeadlineNanos) {
            grant(attemptId, permit, useDeadlineNanos, callback);
          }

          @Override
          public void onRejected(PermitRejectionReason reason) {
            callback.accept(rejected(clock.getAsLong(), RejectionReason.NO_ENDPOINT));
          }
        });
  }

  private static AcquireRequest acquireRequest(
      long attemptId, List<Endpoint> endpoints, long deadlineNanos) {
    List<LimitId> limits =
        endpoints.stream().map(endpoint -> LimitId.slotsOf(endpoint.id())).toList();
    return new AcquireRequest(attemptId, limits, deadlineNanos, deadlineNanos);
  }

  private AdmissionDecision rejected(long nowNanos, RejectionReason reason) {
    return new AdmissionDecision.Rejected(reason, queue.retryAfterMillis(nowNanos));
  }

  private void reject(Rejection rejection) {
    PendingRequest rejectedRequest = pendingRequests.remove(rejection.request().requestId());
    if (rejectedRequest != null) {
      rejectedRequest
          .callback()
          .accept(new AdmissionDecision.Rejected(rejection.reason(), rejection.retryAfterMillis()));
    }
  }

  private void acquireForQueued(long nowNanos) {
    while (pendingAcquires.size() < Math.min(MAX_PENDING_ACQUIRES, queue.size())
        && nowNanos >= nextAcquireNanos) {
      Optional<PendingRequest> next =
          queue.peek(nowNanos).map(queued -> pendingRequests.get(queued.requestId()));
      if (next.isEmpty() || !acquireFor(nowNanos, next.get())) {
        return;
      }
    }
  }

  private boolean acquireFor(long nowNanos, PendingRequest next) {
    List<Endpoint> endpoints = candidates.find(nowNanos, next.request(), oldestWaitNanos(nowNanos));
    if (endpoints.isEmpty()) {
      rejectAllQueued(nowNanos);
      return false;
    }
    long attemptId = requestIds.getAsLong();
    pendingAcquires.addLast(attemptId);
    permits.acquire(
        acquireRequest(attemptId, endpoints, next.queued().deadlineNanos()),
        new PermitDriver.AcquireCallback() {
          @Override
          public void onGranted(Permit permit, long useDeadlineNanos) {
            pendingAcquires.remove(attemptId);
            grantToNext(attemptId, permit, useDeadlineNanos);
          }

          @Override
          public void onRejected(PermitRejectionReason reason) {
            pendingAcquires.remove(attemptId);
            nextAcquireNanos = clock.getAsLong() + ACQUIRE_RETRY_DELAY_NANOS;
          }
        });
    return true;
  }

  /** Returns how long the request at the head has waited, as an estimate of the wait to expect. */
  private long oldestWaitNanos(long nowNanos) {
    return queue.peek(nowNanos).map(next -> nowNanos - next.arrivalNanos()).orElse(0L);
  }

  private void rejectAllQueued(long nowNanos) {
    for (PendingRequest pending : ImmutableList.copyOf(pendingRequests.values())) {
      queue.remove(pending.queued().priority(), pending.queued().requestId());
      pendingRequests.remove(pending.queued().requestId());
      pending.callback().accept(rejected(nowNanos, RejectionReason.NO_ENDPOINT));
    }
  }

  private void grantToNext(long attemptId, Permit permit, long useDeadlineNanos) {
    if (candidates.findUsable(permit.limit()).isEmpty()) {
      permits.release(attemptId, /* slotIsFree= */ true);
      acquireForQueued(clock.getAsLong());
      return;
    }
    PollResult polled = queue.poll(clock.getAsLong());
    polled.expired().forEach(this::reject);
    Optional<PendingRequest> next =
        polled.next().map(queued -> pendingRequests.remove(queued.requestId()));
    if (next.isEmpty()) {
      permits.release(attemptId, /* slotIsFree= */ true);
      return;
    }
    grant(attemptId, permit, useDeadlineNanos, next.get().callback());
  }

  private void grant(
      long attemptId, Permit permit, long useDeadlineNanos, Consumer<AdmissionDecision> callback) {
    Optional<Endpoint> endpoint = candidates.findUsable(permit.limit());
    if (endpoint.isEmpty()) {
      permits.release(attemptId, /* slotIsFree= */ true);
      callback.accept(rejected(clock.getAsLong(), RejectionReason.NO_ENDPOINT));
      return;
    }
    callback.accept(new AdmissionDecision.Admitted(endpoint.get(), attemptId, useDeadlineNanos));
  }

  /**
   * Rejects queued requests that can't finish before their deadlines, cancels surplus acquisitions,
   * and acquires permits for the requests that remain.
   */
  void runDueTasks(long nowNanos) {
    queue.expire(nowNanos).forEach(this::reject);
    while (pendingAcquires.size() > queue.size()) {
      permits.cancel(pendingAcquires.removeLast());
    }
    acquireForQueued(nowNanos);
  }
}
