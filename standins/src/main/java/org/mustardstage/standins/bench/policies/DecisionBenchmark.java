package org.mustardstage.standins.bench.policies;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.manifest.Objective;
import org.mustardstage.core.manifest.Priority;
import org.mustardstage.core.overload.PollResult;
import org.mustardstage.core.overload.QueueSettings;
import org.mustardstage.core.overload.QueuedRequest;
import org.mustardstage.core.overload.RequestQueue;
import org.mustardstage.core.overload.RetryAfterSettings;
import org.mustardstage.core.route.EndpointLocation;
import org.mustardstage.core.route.EndpointRouter;
import org.mustardstage.core.route.Proximity;
import org.mustardstage.core.route.RouteRequest;
import org.mustardstage.core.route.RouterSettings;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the time of one routing decision and of one pass through the request queue. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class DecisionBenchmark {
  private static final long ARRIVAL_INTERVAL_NANOS = 100_000;
  private static final long TIMEOUT_NANOS = 1_000_000_000;

  /** The number of endpoints of the service. */
  @Param({"18", "260"})
  public int endpoints;

  private final RequestQueue queue =
      new RequestQueue(QueueSettings.DEFAULT, RetryAfterSettings.DEFAULT, new SplittableRandom(1));
  private final EndpointRouter router =
      new EndpointRouter(RouterSettings.DEFAULT, new SplittableRandom(1));
  private long nowNanos;
  private long nextId;

  /** Creates endpoints in three regions, each with a load report. */
  @Setup
  public void setUp() {
    List<EndpointLocation> locations = new ArrayList<>();
    for (int i = 0; i < endpoints; i++) {
      Proximity proximity = i % 3 == 0 ? Proximity.OWN_REGION : Proximity.OTHER_REGION;
      locations.add(
          new EndpointLocation(new EndpointId("e" + i), new RegionId("r" + i % 3), proximity, 9));
    }
    router.updateEndpoints(0, Objective.LATENCY, locations);
    locations.forEach(location -> router.recordLoadReport(0, location.id(), 0.5));
  }

  /** Ranks the candidate endpoints of a request. */
  @Benchmark
  public List<EndpointId> route() {
    nowNanos += ARRIVAL_INTERVAL_NANOS;
    return router.candidates(nowNanos, RouteRequest.idempotent(0));
  }

  /** Enqueues a request and polls it again. */
  @Benchmark
  public PollResult queue() {
    nowNanos += ARRIVAL_INTERVAL_NANOS;
    queue.offer(
        nowNanos,
        new QueuedRequest(nextId++, Priority.INTERACTIVE, nowNanos, nowNanos + TIMEOUT_NANOS));
    return queue.poll(nowNanos);
  }
}
