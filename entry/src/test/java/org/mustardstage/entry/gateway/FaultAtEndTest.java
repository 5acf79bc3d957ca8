package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.google.common.collect.ImmutableSet;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpMethod;
import java.net.InetAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.mustardstage.core.gateway.RoutingRule;
import org.mustardstage.core.gateway.WeightedService;
import org.mustardstage.core.http.HeaderList;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.overload.BufferBudget;
import org.mustardstage.core.placement.AttemptResult;
import org.mustardstage.core.placement.PlacementDecision;
import org.mustardstage.core.placement.RelaySelector;
import org.mustardstage.core.placement.SchedulerRequest;
import org.mustardstage.entry.http.MalformedResponses.Peers;

/** Guards against a request that is called not run as an error occurs while it is cancelled. */
@Timeout(60)
class FaultAtEndTest {
  private static final long DEADLINE_MILLIS = 1_500;
  private static final RoutingRule BOOK =
      new RoutingRule(
          "book",
          "/book/",
          /* idempotent= */ false,
          1_000,
          1,
          /* affinity= */ false,
          List.of(new WeightedService(GatewayTestBed.ORDERS, 1)),
          5_000,
          2,
          ImmutableSet.of());

  enum End {
    TIMEOUT,
    CALLER_LEFT,
    EXIT
  }

  private final Eventloop eventloop = Eventloop.create();
  private final CountDownLatch running = new CountDownLatch(1);
  private FakeEndpoint endpoint;
  private EndpointConnectionPool pool;

  @BeforeEach
  void start() throws Exception {
    endpoint = new FakeEndpoint("i-1");
    endpoint.setHandler((request, socket) -> running.countDown());
    pool = newPool(Peers.ENDPOINTS);
    eventloop.keepAlive(true);
    Thread.ofPlatform().daemon().start(eventloop);
  }

  @AfterEach
  void stop() throws Exception {
    eventloop.submit(pool::closeAll).join();
    eventloop.execute(eventloop::breakEventloop);
    endpoint.close();
  }

  @ParameterizedTest
  @EnumSource
  void requestThatRunsIsNotCalledNotRun(End end) throws Exception {
    CompletableFuture<RequestOutcome> outcome = new CompletableFuture<>();
    CompletableFuture<RequestExecution> started = new CompletableFuture<>();
    eventloop.execute(
        () -> {
          RequestExecution execution =
              new RequestExecution(services(), request(), Optional.empty(), new ConfigVersion(1));
          execution.start().whenResult(outcome::complete);
          started.complete(execution);
        });
    RequestExecution execution = started.get(5, TimeUnit.SECONDS);
    assertThat(running.await(5, TimeUnit.SECONDS), is(true));
    eventloop.execute(
        () -> {
          switch (end) {
            case TIMEOUT -> {}
            case CALLER_LEFT -> execution.onCallerDisconnected();
            case EXIT -> execution.onExit(/* retryAfterMillis= */ 50);
          }
        });

    RequestOutcome ended = outcome.get(5, TimeUnit.SECONDS);
    assertThat(ended, is(not(instanceOf(RequestOutcome.NotRun.class))));
    assertThat(ended, is(not(new RequestOutcome.CallerDisconnected(/* mayHaveRun= */ false))));
  }

  private EndpointConnectionPool newPool(Peers peers) {
    return new EndpointConnectionPool(
        eventloop, GatewayTestBed.HEADER_NAMES, new BufferBudget<>(1 << 20), peers);
  }

  private GatewayServices services() {
    return new GatewayServices(
        eventloop,
        new FaultyPlacer(),
        pool,
        new EndpointLinkMonitor(eventloop, pool, GatewayTestBed.HEADER_NAMES),
        new RelayNetwork(
            eventloop,
            newPool(Peers.VMS),
            new RelaySelector(new VmId("vm-1"), new SplittableRandom(1)),
            GatewayTestBed.HEADER_NAMES),
        new CrashGuard(/* expectsPeers= */ false),
        new QuotaGate(TestSettings.ofVm("vm-1").build(), eventloop, System::nanoTime),
        new LargeResponses(1 << 20, () -> 0, new GatewayMetrics()),
        GatewayTestBed.HEADER_NAMES);
  }

  private static CallerRequest request() {
    long nowNanos = System.nanoTime();
    return new CallerRequest(
        "r-1",
        BOOK,
        Optional.empty(),
        Optional.empty(),
        GatewayTestBed.ORDERS,
        Optional.empty(),
        HttpMethod.POST,
        "/book/1",
        new HeaderList(List.of()),
        new byte[0],
        InetAddress.getLoopbackAddress(),
        nowNanos,
        nowNanos + Duration.ofMillis(DEADLINE_MILLIS).toNanos(),
        Optional.empty());
  }

  /** Places each request at the endpoint, and fails when the slot is released. */
  private final class FaultyPlacer implements Placer {
    @Override
    public PendingPlacement place(
        PlacementRequest request, Consumer<PlacementDecision> onDecision) {
      SchedulerRequest placed =
          new SchedulerRequest(
              1,
              request.rule(),
              request.tenant(),
              request.affinityKey(),
              request.arrivalNanos(),
              request.objectiveDeadlineNanos(),
              request.deadlineNanos(),
              request.excludedEndpoints());
      onDecision.accept(
          new PlacementDecision.Placed(placed, endpoint.registration(), 1, 1_000_000));
      return () -> {};
    }

    @Override
    public void release(
        ServiceName service, PlacementDecision.Placed placed, AttemptResult result) {
      throw new IllegalStateException("slot was released by a test");
    }

    @Override
    public void recordFirstAttempt(ServiceName service) {}

    @Override
    public boolean tryAcquireRetry(ServiceName service) {
      return true;
    }

    @Override
    public OptionalLong hedgeDelayMillis(
        ServiceName service, long expectedMillis, long remainingMillis) {
      return OptionalLong.empty();
    }

    @Override
    public Optional<PlacementDecision.Placed> placeHedge(PlacementRequest request) {
      return Optional.empty();
    }
  }
}
