package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.activej.eventloop.Eventloop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.mustardstage.core.gateway.CallerLimits;
import org.mustardstage.core.gateway.GatewayConfig;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.gateway.RoutingRule;
import org.mustardstage.core.gateway.ServiceSpec;
import org.mustardstage.core.gateway.WeightedService;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.placement.AttemptResult;
import org.mustardstage.core.placement.EndpointNotice;
import org.mustardstage.core.placement.LimitNotice;
import org.mustardstage.core.placement.PlacementDecision;
import org.mustardstage.core.placement.UsableEndpoint;

/** Checks that queued requests are decided one after another, in whichever way that begins. */
@Timeout(60)
class DispatcherTest {
  private static final ServiceName ORDERS = new ServiceName("orders");

  /** Decided inside one another, so many requests need more than the stack of a traffic thread. */
  private static final int QUEUED_REQUESTS = 2_000;

  private static final long OBJECTIVE_MILLIS = 60_000;

  private static final RoutingRule RULE =
      new RoutingRule(
          "book",
          "/book/",
          /* idempotent= */ false,
          OBJECTIVE_MILLIS,
          /* priority= */ 1,
          /* affinity= */ false,
          List.of(new WeightedService(ORDERS, 1)),
          OBJECTIVE_MILLIS,
          /* maxAttempts= */ 2,
          ImmutableSet.of());

  private final List<Throwable> faults = new ArrayList<>();
  private final Eventloop eventloop =
      Eventloop.builder()
          .withCurrentThread()
          .withFatalErrorHandler((e, context) -> faults.add(e))
          .build();
  private final SequenceCheck decided = new SequenceCheck();

  /** The names of the requests that were decided, in order. */
  private final List<String> order = new ArrayList<>();

  private long aheadNanos;
  private Dispatcher dispatcher;

  /** What decides the queued requests. */
  enum Beginning {
    SLOT_RELEASED,
    SERVICE_REMOVED,
    ENDPOINT_GONE,
    OBJECTIVE_PASSED
  }

  @BeforeEach
  void start() {
    publishOneSlot();
    recordResponses();
  }

  private void publishOneSlot() {
    dispatcher =
        new Dispatcher(
            TestSettings.ofVm("vm-1").build(), eventloop, () -> System.nanoTime() + aheadNanos);
    dispatcher.setConfig(config(1, new ServiceSpec(ORDERS, "/health", 700, 3_000, 17)));
    RegisteredEndpoint endpoint =
        new RegisteredEndpoint(
            new EndpointId("i-1"),
            ORDERS,
            TestSettings.ADDRESS,
            TestSettings.ZONE,
            /* slots= */ 1,
            /* draining= */ false,
            0,
            1);
    dispatcher.setEndpoints(
        ImmutableMap.of(ORDERS, ImmutableList.of(new UsableEndpoint(endpoint, 0))));
  }

  /** Without a response, the expected wait is too long for requests to be queued. */
  private void recordResponses() {
    for (int i = 0; i < 50; i++) {
      dispatcher.release(
          ORDERS,
          placeOne(),
          new AttemptResult(
              AttemptResult.Status.ANSWERED,
              /* elapsedNanos= */ 1_000,
              Optional.empty(),
              Optional.empty(),
              EndpointNotice.NONE));
    }
  }

  private static GatewayConfig config(int version, ServiceSpec... services) {
    return new GatewayConfig(
        new ConfigVersion(version),
        new CallerLimits(16_384, 1 << 20, 3_000, 15_000),
        ImmutableList.copyOf(services),
        Map.of());
  }

  private Placer.PendingPlacement place(Consumer<PlacementDecision> onDecision) {
    long nowNanos = System.nanoTime();
    long deadlineNanos = nowNanos + Duration.ofMillis(OBJECTIVE_MILLIS).toNanos();
    return dispatcher.place(
        new PlacementRequest(
            ORDERS,
            RULE,
            Optional.empty(),
            Optional.empty(),
            nowNanos,
            deadlineNanos,
            deadlineNanos,
            ImmutableSet.of(),
            PlacementRequest.BudgetUse.FIRST_ATTEMPT),
        onDecision);
  }

  /** Uses the only slot. */
  private PlacementDecision.Placed placeOne() {
    List<PlacementDecision> decisions = new ArrayList<>();
    place(decisions::add);
    assertThat(decisions, contains(instanceOf(PlacementDecision.Placed.class)));
    return (PlacementDecision.Placed) decisions.getFirst();
  }

  /** Places a request that frees its slot as soon as it gets one, and records the decision. */
  private void placeAndRelease(String name) {
    place(
        decision -> {
          order.add(name);
          release(decision);
        });
  }

  private void release(PlacementDecision decision) {
    if (decision instanceof PlacementDecision.Placed placed) {
      dispatcher.release(ORDERS, placed, AttemptResult.abandoned());
    }
  }

  @ParameterizedTest
  @EnumSource
  void queuedRequestsAreDecidedOneAfterAnotherWhateverOneOfThemDoes(Beginning beginning) {
    PlacementDecision.Placed running = placeOne();
    for (int i = 0; i < QUEUED_REQUESTS; i++) {
      place(decision -> decided.runThenFail(() -> release(decision)));
    }

    switch (beginning) {
      case SLOT_RELEASED -> release(running);
      case SERVICE_REMOVED -> dispatcher.setConfig(config(2));
      case ENDPOINT_GONE -> dispatcher.setEndpoints(ImmutableMap.of());
      case OBJECTIVE_PASSED -> aheadNanos = Duration.ofMillis(2 * OBJECTIVE_MILLIS).toNanos();
    }
    assertThat("decided inside the caller", decided.runs(), is(0));
    eventloop.run();

    assertThat(decided.runs(), is(QUEUED_REQUESTS));
    assertThat(decided.maxNesting(), is(1));
    assertThat(faults, hasSize(QUEUED_REQUESTS));
  }

  /** A slot that is freed is not taken by a request that comes before the queue was looked at. */
  @Test
  void queuedRequestGetsTheSlotBeforeANewcomer() {
    PlacementDecision.Placed running = placeOne();
    placeAndRelease("queued");
    release(running);
    placeAndRelease("newcomer");
    eventloop.run();

    assertThat(order, contains("queued", "newcomer"));
  }

  /** The request leaves between the placement and the task that would have told it. */
  @Test
  void slotOfARequestThatLeftMeanwhileIsUsedByTheNext() {
    PlacementDecision.Placed running = placeOne();
    Placer.PendingPlacement leaver = place(decision -> order.add("leaver"));
    placeAndRelease("next");
    release(running);
    // Runs after the queue was processed, and before its decisions are told.
    eventloop.postLast(leaver::cancel);
    eventloop.run();

    assertThat(order, contains("next"));
  }

  @Test
  void newcomerThatLeavesIsNotPlaced() {
    PlacementDecision.Placed running = placeOne();
    placeAndRelease("queued");
    release(running);
    place(decision -> order.add("newcomer")).cancel();
    eventloop.run();

    assertThat(order, contains("queued"));
    release(placeOne());
  }

  /**
   * An error in what is told of a result kept the slot, and the scheduler never heard the result.
   */
  @Test
  void errorInWhatIsToldOfAResultDoesNotKeepTheSlot() {
    PlacementDecision.Placed running = placeOne();
    placeAndRelease("queued");
    dispatcher.setLeavingListener(
        endpoint -> {
          throw new IllegalStateException("thrown by the test");
        });
    AttemptResult leaving =
        new AttemptResult(
            AttemptResult.Status.ANSWERED,
            /* elapsedNanos= */ 1_000,
            Optional.empty(),
            Optional.empty(),
            new EndpointNotice(/* leaving= */ true, Optional.empty(), LimitNotice.UNLIMITED));
    assertThrows(IllegalStateException.class, () -> dispatcher.release(ORDERS, running, leaving));
    eventloop.delay(200, eventloop::breakEventloop);
    eventloop.run();

    // Its only endpoint is leaving, so the request is rejected at once.
    assertThat(order, contains("queued"));
  }
}
