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

/** The runs that hold slots. */
final class ActiveRuns {
  private final Reactor reactor;
  private final SlotUsage slotUsage;
  private final RunRecord record;
  private final Map<String, Run> active = new HashMap<>();
  private final Set<String> cancelledBeforeStart = new HashSet<>();

  ActiveRuns(Reactor reactor, SlotUsage meter, RunRecord record) {
    this.reactor = reactor;
    this.slotUsage = meter;
    this.record = record;
  }

  boolean isCancelledBeforeStart(String requestId) {
    return cancelledBeforeStart.contains(requestId);
  }

  /** Runs {@code request} for {@code runMillis}, or until its deadline if that is earlier. */
  Promise<RunResult> start(EndpointRequest request, long runMillis) {
    long deadlineMillis = request.timeLeftMillis().orElse(Long.MAX_VALUE);
    RunResult expectedEnd = runMillis <= deadlineMillis ? RunResult.COMPLETED : RunResult.EXPIRED;
    SettablePromise<RunResult> result = new SettablePromise<>();
    ScheduledRunnable timer =
        reactor.delay(
            Math.min(runMillis, deadlineMillis), () -> end(request.requestId(), expectedEnd));
    slotUsage.acquire(reactor.currentTimeMillis());
    record.recordStart(request, reactor.currentTimeMillis());
    active.put(request.requestId(), new Run(timer, result));
    return result;
  }

  /** Ends the run of a request, or keeps it from running if it arrives later. */
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

  private void end(String requestId, RunResult end) {
    Run run = active.remove(requestId);
    slotUsage.release(reactor.currentTimeMillis());
    record.recordEnd(end, reactor.currentTimeMillis());
    run.result().set(end);
  }

  private record Run(ScheduledRunnable timer, SettablePromise<RunResult> result) {}
}
