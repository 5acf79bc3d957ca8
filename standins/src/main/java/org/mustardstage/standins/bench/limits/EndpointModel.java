package org.mustardstage.standins.bench.limits;

import java.util.ArrayDeque;
import java.util.Queue;

/** An endpoint with slots, and a queue for the requests that exceed them. */
final class EndpointModel {
  private final VirtualTimeScheduler scheduler;
  private final SlotGauge gauge;
  private final int slots;
  private final Queue<PendingRequest> queue = new ArrayDeque<>();
  private int running;
  private int maxRequests;

  private record PendingRequest(long serviceTimeNanos, Runnable onResponse) {}

  EndpointModel(VirtualTimeScheduler scheduler, SlotGauge gauge, int slots) {
    this.scheduler = scheduler;
    this.gauge = gauge;
    this.slots = slots;
  }

  /** Runs a request at once, or enqueues it until a slot is free. */
  void submit(long serviceTimeNanos, Runnable onResponse) {
    maxRequests = Math.max(maxRequests, running + queue.size() + 1);
    if (running < slots) {
      start(new PendingRequest(serviceTimeNanos, onResponse));
    } else {
      gauge.addWaiting(1);
      queue.add(new PendingRequest(serviceTimeNanos, onResponse));
    }
  }

  private void start(PendingRequest request) {
    running++;
    gauge.addRunning(1);
    scheduler.schedule(request.serviceTimeNanos(), () -> complete(request));
  }

  private void complete(PendingRequest request) {
    running--;
    gauge.addRunning(-1);
    request.onResponse().run();
    PendingRequest next = queue.poll();
    if (next != null) {
      gauge.addWaiting(-1);
      start(next);
    }
  }

  /** Returns the most requests that were here at once; more than the slots violates the limit. */
  int maxRequests() {
    return maxRequests;
  }
}
