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
  private final SlotMeter meter;
  private final RunRecord record;
  private final Map<String, Run> active = new HashMap<>();
  private final Set<String> cancelledBeforeArrival = new HashSet<>();

  ActiveRuns(Reactor reactor, SlotMeter meter, RunRecord record) {
    this.reactor = reactor;
    this.meter = meter;
    this.record = record;
  }

  boolean wasCancelled(String requestId) {
    return cancelledBeforeArrival.contains(requestId);
  }

  /** Runs {@code request} for {@code runMillis}, or until its deadline if that is earlier. */
  Promise<RunEnd> start(RunRequest request, long runMillis) {
    long deadlineMillis = request.deadlineMillis().orElse(Long.MAX_VALUE);
    RunEnd expectedEnd = runMillis <= deadlineMillis ? RunEnd.COMPLETED : RunEnd.EXPIRED;
    SettablePromise<RunEnd> result = new SettablePromise<>();
    ScheduledRunnable timer =
        reactor.delay(
            Math.min(runMillis, deadlineMillis), () -> end(request.requestId(), expectedEnd));
    meter.take(reactor.currentTimeMillis());
    record.started(request, reactor.currentTimeMillis());
    active.put(request.requestId(), new Run(timer, result));
    return result;
  }

  /** Ends the run of a request, or keeps it from running if it arrives later. */
  EndpointCancellation.State cancel(String requestId) {
    if (active.containsKey(requestId)) {
      active.get(requestId).timer().cancel();
      end(requestId, RunEnd.CANCELLED);
      return EndpointCancellation.State.CANCELLED;
    }
    if (record.hasRun(requestId)) {
      return EndpointCancellation.State.DONE;
    }
    cancelledBeforeArrival.add(requestId);
    return EndpointCancellation.State.NOT_RUN;
  }

  private void end(String requestId, RunEnd end) {
    Run run = active.remove(requestId);
    meter.release(reactor.currentTimeMillis());
    record.ended(end, reactor.currentTimeMillis());
    run.result().set(end);
  }

  private record Run(ScheduledRunnable timer, SettablePromise<RunEnd> result) {}
}
