package org.mustardstage.standins.endpoint;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.Reactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.mustardstage.schema.generated.EndpointCancellation;

/** Tracks the running requests, each of which holds a slot until the run ends. */
final class ActiveRuns {
  private final Reactor reactor;
  private final SlotUsage slotUsage;
  private final RunRecord record;
  private final Map<String, Run> active = new HashMap<>();
  private final Set<String> cancelledBeforeStart = new HashSet<>();

  ActiveRuns(Reactor reactor, SlotUsage slotUsage, RunRecord record) {
    this.reactor = reactor;
    this.slotUsage = slotUsage;
    this.record = record;
  }

  boolean isCancelledBeforeStart(String requestId) {
    return cancelledBeforeStart.contains(requestId);
  }

  /**
   * Runs {@code request} for {@code runMillis}, or until its deadline if that is earlier. The
   * promise completes when the run ends.
   */
  Promise<RunResult> start(EndpointRequest request, long runMillis) {
    long timeLeftMillis = request.timeLeftMillis().orElse(Long.MAX_VALUE);
    RunResult expectedResult =
        runMillis <= timeLeftMillis ? RunResult.COMPLETED : RunResult.EXPIRED;
    SettablePromise<RunResult> promise = new SettablePromise<>();
    ScheduledRunnable timer =
        reactor.delay(
            Math.min(runMillis, timeLeftMillis), () -> end(request.requestId(), expectedResult));
    slotUsage.acquire(reactor.currentTimeMillis());
    record.recordStart(request, reactor.currentTimeMillis());
    active.put(request.requestId(), new Run(timer, promise));
    return promise;
  }

  /** Cancels a running request, or makes it be rejected if it arrives later. */
  EndpointCancellation.State cancel(String requestId) {
    if (active.containsKey(requestId)) {
      active.get(requestId).timer().cancel();
      end(requestId, RunResult.CANCELLED);
      return EndpointCancellation.State.CANCELLED;
    }
    if (record.hasRun(requestId)) {
      return EndpointCancellation.State.DONE;
    }
    cancelledBeforeStart.add(requestId);
    return EndpointCancellation.State.NOT_RUN;
  }

  private void end(String requestId, RunResult result) {
    Run run = active.remove(requestId);
    slotUsage.release(reactor.currentTimeMillis());
    record.recordEnd(result, reactor.currentTimeMillis());
    run.promise().set(result);
  }

  private record Run(ScheduledRunnable timer, SettablePromise<RunResult> promise) {}
}
