package org.mustardstage.standins.load;

import com.google.common.net.InetAddresses;
import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.mustardstage.core.id.CallName;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.manifest.Call;
import org.mustardstage.core.manifest.CallerBlock;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.schema.generated.LoadCall;
import org.mustardstage.schema.generated.LoadPlan;
import org.mustardstage.schema.generated.LoadSummary;

/** Sends the requests of a load plan at their due times (open loop) from one event loop. */
final class LoadRunner {
  private final Eventloop eventloop;
  private final Manifest manifest;
  private final LoadPlan plan;
  private final EntryVmClient client;
  private final SplittableRandom random;
  private final PoissonArrivals arrivals;
  private final LoadRecorder recorder;
  private final List<Caller> callers = new ArrayList<>();
  private final SettablePromise<LoadSummary> finished = new SettablePromise<>();
  private long startMillis;
  private long startNanos;
  private long requestsInFlight;
  private long lastToken;

  LoadRunner(
      Eventloop eventloop, Manifest manifest, LoadPlan plan, List<HostAndPort> knownEntryVms) {
    this.eventloop = eventloop;
    this.manifest = manifest;
    this.plan = plan;
    this.client = new EntryVmClient(eventloop);
    this.random = new SplittableRandom(plan.getSeed());
    this.arrivals = new PoissonArrivals(plan, random.split());
    this.recorder = new LoadRecorder(plan);
    for (int i = 0; i < plan.getCallers(); i++) {
      callers.add(
          new Caller(eventloop, client, random.split(), drawCallerAddress(), knownEntryVms));
    }
  }

  /** Starts the load; the promise completes when every request has an outcome. */
  Promise<LoadSummary> start() {
    startMillis = System.currentTimeMillis();
    startNanos = System.nanoTime();
    sendDue();
    return finished;
  }

  private void sendDue() {
    long nowMillis = System.currentTimeMillis() - startMillis;
    while (arrivals.hasNext() && arrivals.nextDueMillis() <= nowMillis) {
      send(arrivals.next());
    }
    if (arrivals.hasNext()) {
      eventloop.schedule(startMillis + arrivals.nextDueMillis(), this::sendDue);
    } else {
      finishIfDone();
    }
  }

  private void send(PoissonArrivals.Arrival arrival) {
    PlannedRequest request = planRequest(arrival.call());
    RetryingRequest execution =
        new RetryingRequest(
            eventloop,
            client,
            callers.get(arrival.caller()),
            request,
            Math.toIntExact(plan.getMaxAttempts()));
    recorder.recordPlanned(request);
    requestsInFlight++;
    execution.start().whenResult(outcome -> recordOutcome(arrival, request, execution, outcome));
  }

  private void recordOutcome(
      PoissonArrivals.Arrival arrival,
      PlannedRequest request,
      RetryingRequest execution,
      RequestOutcome outcome) {
    long dueNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(arrival.dueMillis());
    long latencyNanos = Math.max(0, System.nanoTime() - dueNanos);
    recorder.recordOutcome(arrival.call(), request, outcome, execution.attempts(), latencyNanos);
    requestsInFlight--;
    finishIfDone();
  }

  private void finishIfDone() {
    if (requestsInFlight == 0 && !arrivals.hasNext() && !finished.isComplete()) {
      finished.set(recorder.toMessage());
    }
  }

  private PlannedRequest planRequest(LoadCall loadCall) {
    ServiceName service = new ServiceName(loadCall.getService());
    Call call =
        manifest.findService(service).orElseThrow().calls().stream()
            .filter(candidate -> candidate.name().equals(new CallName(loadCall.getCall())))
            .findFirst()
            .orElseThrow();
    String token = "t" + plan.getSeed() + "-" + ++lastToken;
    int bodyBytes = Math.toIntExact(loadCall.getBodyBytes());
    return new PlannedRequest(service, call, token, bodyBytes, Optional.empty());
  }

  private String drawCallerAddress() {
    List<CallerBlock> blocks = manifest.callerBlocks();
    CallerBlock block = blocks.get(random.nextInt(blocks.size()));
    long address = random.nextLong(block.firstAddress(), block.lastAddress() + 1);
    return InetAddresses.fromInteger((int) address).getHostAddress();
  }
}
