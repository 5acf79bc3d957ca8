package org.mustardstage.standins.bench.policies;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.mustardstage.core.id.EndpointId;

/** An endpoint with slots, and a queue for the requests that exceed them. */
final class EndpointModel {
  private static final int MAX_CONNECTIONS = 700;

  final EndpointId id;
  final int zone;
  final int slots;
  private final VirtualTimeScheduler scheduler;
  private final Deque<PendingRequest> queue = new ArrayDeque<>();
  double slowFactor = 1;
  boolean reportsIdle;
  boolean draining;
  private int running;
  private int permitsInUse;
  private long lastSubmitNanos;
  private long submittedRequests;
  private long lastUpdateNanos;
  private double busySlotNanos;
  private long windowStartNanos;

  EndpointModel(VirtualTimeScheduler scheduler, int number, int zone, int slots) {
    this.scheduler = scheduler;
    this.id = new EndpointId("e" + number);
    this.zone = zone;
    this.slots = slots;
  }

  int region() {
    return zone / (ServiceModel.ZONES / ServiceModel.REGIONS);
  }

  /** Acquires a permit if one is free. */
  boolean tryAcquirePermit() {
    if (permitsInUse >= slots) {
      return false;
    }
    permitsInUse++;
    return true;
  }

  void releasePermit() {
    permitsInUse--;
  }

  /**
   * Runs a request at once, or enqueues it until a slot is free. {@code onCompletion} receives
   * whether the request ran; it did not if the endpoint has no connection left.
   */
  void submit(CallerRequest request, Consumer<Boolean> onCompletion) {
    PendingRequest pending = new PendingRequest(request, onCompletion);
    lastSubmitNanos = scheduler.nowNanos();
    submittedRequests++;
    if (running < slots) {
      start(pending);
    } else if (running + queue.size() < MAX_CONNECTIONS) {
      queue.add(pending);
    } else {
      onCompletion.accept(false);
    }
  }

  /** Returns the utilization in its load reports; an endpoint with a false report says 0. */
  double reportedUtilization() {
    return reportsIdle ? 0 : (double) running / slots;
  }

  int requestsInFlight() {
    return running + queue.size();
  }

  long lastSubmitNanos() {
    return lastSubmitNanos;
  }

  long submittedRequests() {
    return submittedRequests;
  }

  int permitsInUse() {
    return permitsInUse;
  }

  /** Returns the mean utilization since the last call, and starts a new measurement. */
  double resetUtilization() {
    long nowNanos = scheduler.nowNanos();
    accumulateBusyTime();
    double share = busySlotNanos / slots / Math.max(1, nowNanos - windowStartNanos);
    busySlotNanos = 0;
    windowStartNanos = nowNanos;
    return share;
  }

  private void start(PendingRequest pending) {
    accumulateBusyTime();
    running++;
    long nanos = (long) (pending.request().serviceTimeNanos * slowFactor);
    scheduler.schedule(nanos, () -> complete(pending));
  }

  private void complete(PendingRequest pending) {
    accumulateBusyTime();
    running--;
    pending.onCompletion().accept(true);
    if (!queue.isEmpty()) {
      start(queue.poll());
    }
  }

  private void accumulateBusyTime() {
    busySlotNanos += (double) running * (scheduler.nowNanos() - lastUpdateNanos);
    lastUpdateNanos = scheduler.nowNanos();
  }

  private record PendingRequest(CallerRequest request, Consumer<Boolean> onCompletion) {}
}
