package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Ints;
import io.activej.http.HttpMethod;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.placement.PlacementDecision;
import org.mustardstage.core.placement.AttemptResult;
import org.mustardstage.core.placement.AttemptResult.LoadReport;
import org.mustardstage.core.placement.AttemptResult.Status;

/**
 * Carries one request of a caller: has it placed, sends it, and sends it again as far as its kind
 * and its rule allow. It ends with the answer of an endpoint, or with a failure that says truly
 * whether the request may have run.
 */
final class RequestExecution {
  /** An answer that leaves this much less than the deadline at the endpoint still arrives here. */
  private static final long RESPONSE_TRANSFER_MARGIN_MILLIS = 2;

  /** A connection that takes longer than this has met an endpoint that is gone. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

  /** An idempotent request is sent elsewhere when its answer takes this much longer than usual. */
  private static final double HEDGE_DELAY_FACTOR = 3;

  private static final long MIN_HEDGE_DELAY_MILLIS = 500;

  private static final int MAX_CONNECTIONS_PER_ENDPOINT = 64;
  private static final int MAX_FAILED_CONNECTS = 4;
  private static final int STATUS_MISDIRECTED = 421;
  private static final int MIN_SERVER_ERROR_STATUS = 500;

  private final NioReactor reactor;
  private final Placer placer;
  private final EndpointConnectionPool connections;
  private final HeaderNames headerNames;
  private final CallerRequest request;
  private final SettablePromise<RequestOutcome> outcome = new SettablePromise<>();
  private final Set<EndpointId> triedEndpoints = new HashSet<>();
  private final List<String> trace = new ArrayList<>();
  private Optional<Placer.PendingPlacement> pendingPlacement = Optional.empty();
  private final List<Attempt> attemptsInFlight = new ArrayList<>();
  private Optional<ScheduledRunnable> timeout = Optional.empty();
  private int sentAttempts;
  private int failedConnects;
  private boolean mayHaveRun;

  /** An endpoint's failure that is passed on if no other endpoint does better. */
  private Optional<RequestOutcome.Responded> failedResponse = Optional.empty();

  /** One send to one endpoint. */
  private final class Attempt {
    private final PlacementDecision.Placed placed;
    private final EndpointConnection connection;
    private final long startedNanos = System.nanoTime();
    private Optional<ScheduledRunnable> hedgeTimer = Optional.empty();
    private boolean hedged;

    Attempt(PlacementDecision.Placed placed, EndpointConnection link) {
      this.placed = placed;
      this.connection = link;
    }

    void finish(Status result, Optional<LoadReport> report) {
      hedgeTimer.ifPresent(ScheduledRunnable::cancel);
      long elapsedNanos = System.nanoTime() - startedNanos;
      Optional<Long> connectNanos =
          connection.connectNanos().isPresent()
              ? Optional.of(connection.connectNanos().getAsLong())
              : Optional.empty();
      trace.add(placed.endpoint().id() + ":" + result + ":" + elapsedNanos / 1_000_000);
      placer.release(
          request.service(), placed, new AttemptResult(result, elapsedNanos, connectNanos, report));
    }
  }

  RequestExecution(
      NioReactor reactor,
      Placer placer,
      EndpointConnectionPool links,
      HeaderNames dialect,
      CallerRequest request) {
    this.reactor = reactor;
    this.placer = placer;
    this.connections = links;
    this.headerNames = dialect;
    this.request = request;
  }

  /** Begins; the promise never fails. */
  Promise<RequestOutcome> start() {
    long leftMillis = remainingMillis();
    timeout = Optional.of(reactor.delay(Math.max(1, leftMillis), this::onTimeout));
    requestPlacement();
    return outcome;
  }

  /** Returns what happened at which endpoint, for the log. */
  List<String> trace() {
    return trace;
  }

  private long remainingMillis() {
    return TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - System.nanoTime());
  }

  private void requestPlacement() {
    long aimNanos =
        request.arrivalNanos() + TimeUnit.MILLISECONDS.toNanos(request.rule().latencyObjectiveMillis());
    boolean[] decided = new boolean[1];
    Placer.PendingPlacement asked =
        placer.place(
            new PlacementRequest(
                request.service(),
                request.rule(),
                request.affinityKey(),
                request.arrivalNanos(),
                aimNanos,
                request.deadlineNanos(),
                triedEndpoints,
                sentAttempts > 0),
            decision -> {
              decided[0] = true;
              onDecision(decision);
            });
    if (!decided[0]) {
      pendingPlacement = Optional.of(asked);
    }
  }

  private void onDecision(PlacementDecision decision) {
    pendingPlacement = Optional.empty();
    switch (decision) {
      case PlacementDecision.Placed placed -> {
        if (outcome.isComplete()) {
          placer.release(
              request.service(),
              placed,
              new AttemptResult(Status.ABANDONED, 0, Optional.empty(), Optional.empty()));
          return;
        }
        send(placed);
      }
      case PlacementDecision.Rejected away -> {
        trace.add(away.reason().toString());
        if (!attemptsInFlight.isEmpty()) {
          return;
        }
        finish(
            mayHaveRun
                ? new RequestOutcome.Unknown(RequestOutcome.Unknown.Cause.ENDPOINT_FAILED)
                : new RequestOutcome.NotRun(away.reason().toString(), away.retryAfterMillis()));
      }
    }
  }

  private void send(PlacementDecision.Placed placed) {
    RegisteredEndpoint endpoint = placed.endpoint();
    long leftMillis = remainingMillis() - RESPONSE_TRANSFER_MARGIN_MILLIS;
    byte[] bytes = RequestEncoder.encode(request, endpoint, headerNames, Math.max(1, leftMillis));
    boolean withoutBody = request.method() == HttpMethod.HEAD;
    Optional<EndpointConnection> idle =
        connections.acquireIdle(endpoint.address(), System.nanoTime(), request.rule().idempotent());
    EndpointConnection link;
    Promise<Either<ConnectionFailure, EndpointResponse>> reply;
    triedEndpoints.add(endpoint.id());
    if (idle.isPresent()) {
      link = idle.get();
      reply = link.send(request.id(), withoutBody, bytes);
    } else {
      Optional<EndpointConnection> created = connections.create(endpoint.address(), MAX_CONNECTIONS_PER_ENDPOINT);
      if (created.isEmpty()) {
        placer.release(
            request.service(),
            placed,
            new AttemptResult(Status.ABANDONED, 0, Optional.empty(), Optional.empty()));
        if (attemptsInFlight.isEmpty()) {
          finish(failureOutcome("NO_LINK"));
        }
        return;
      }
      link = created.get();
      Duration connectTimeout =
          Duration.ofMillis(Math.min(CONNECT_TIMEOUT.toMillis(), Math.max(1, leftMillis)));
      reply = link.connectAndSend(connectTimeout, request.id(), withoutBody, bytes);
    }
    sentAttempts++;
    Attempt current = new Attempt(placed, link);
    attemptsInFlight.add(current);
    scheduleHedge(current);
    reply.whenResult(outcome -> onAttemptResult(current, outcome));
  }

  private void scheduleHedge(Attempt current) {
    if (!request.rule().idempotent() || sentAttempts >= request.rule().maxAttempts()) {
      return;
    }
    long expectedMillis = TimeUnit.NANOSECONDS.toMillis(current.placed.expectedResponseNanos());
    long silentMillis =
        Math.max(MIN_HEDGE_DELAY_MILLIS, (long) (HEDGE_DELAY_FACTOR * expectedMillis));
    if (silentMillis + expectedMillis < remainingMillis()) {
      current.hedgeTimer = Optional.of(reactor.delay(silentMillis, () -> onHedgeDelay(current)));
    }
  }

  /**
   * Asks for a second endpoint when the first has answered nothing since the request was sent, and
   * keeps the first: whichever answers first counts, and nothing is lost if there is no second.
   */
  private void onHedgeDelay(Attempt current) {
    if (!attemptsInFlight.contains(current) || attemptsInFlight.size() > 1) {
      return;
    }
    if (connections.lastResponseNanos(current.placed.endpoint().address()) - current.startedNanos > 0) {
      scheduleHedge(current);
      return;
    }
    current.hedged = true;
    connections.closeIdle(current.placed.endpoint().address());
    requestPlacement();
  }

  private void onAttemptResult(Attempt current, Either<ConnectionFailure, EndpointResponse> outcome) {
    if (!attemptsInFlight.remove(current)) {
      return;
    }
    if (outcome.isRight()) {
      onResponse(current, outcome.get());
      return;
    }
    switch (outcome.getLeft()) {
      case CONNECT_FAILED -> {
        current.finish(Status.UNREACHABLE, Optional.empty());
        sentAttempts--;
        failedConnects++;
        if (!attemptsInFlight.isEmpty()) {
          return;
        }
        if (failedConnects >= MAX_FAILED_CONNECTS) {
          finish(failureOutcome("ENDPOINTS_UNREACHABLE"));
          return;
        }
        requestPlacement();
      }
      case RESET_AFTER_IDLE -> {
        connections.recordIdleReset(current.placed.endpoint().address(), current.connection);
        current.finish(Status.ABANDONED, Optional.empty());
        triedEndpoints.remove(current.placed.endpoint().id());
        mayHaveRun = true;
        retryOrFail(RequestOutcome.Unknown.Cause.ANSWER_LOST);
      }
      case CONNECTION_LOST, MALFORMED -> {
        current.finish(Status.SPOILED, Optional.empty());
        mayHaveRun = true;
        retryOrFail(RequestOutcome.Unknown.Cause.ANSWER_LOST);
      }
    }
  }

  private void onResponse(Attempt current, EndpointResponse reply) {
    Optional<LoadReport> report = readLoadReport(reply);
    if (reply.headers().has(headerNames.notExecuted()) || reply.status() == STATUS_MISDIRECTED) {
      boolean misdirected = reply.status() == STATUS_MISDIRECTED;
      returnToPool(current);
      current.finish(misdirected ? Status.MISDIRECTED : Status.REFUSED, report);
      onRejectedByEndpoint();
      return;
    }
    if (!isIntact(reply)) {
      current.connection.close();
      current.finish(Status.SPOILED, report);
      mayHaveRun = true;
      retryOrFail(RequestOutcome.Unknown.Cause.ANSWER_SPOILED);
      return;
    }
    returnToPool(current);
    boolean failed = reply.status() >= MIN_SERVER_ERROR_STATUS;
    current.finish(failed ? Status.FAILED : Status.ANSWERED, report);
    if (failed && !attemptsInFlight.isEmpty()) {
      mayHaveRun = true;
      return;
    }
    RequestOutcome.Responded answered = new RequestOutcome.Responded(reply, current.placed.endpoint().id());
    if (failed && request.rule().idempotent() && canRetry()) {
      mayHaveRun = true;
      failedResponse = Optional.of(answered);
      requestPlacement();
      return;
    }
    cancelAttempts();
    finish(answered);
  }

  private void returnToPool(Attempt current) {
    connections.release(current.placed.endpoint().address(), current.connection);
  }

  /** Returns whether the answer is the endpoint's own and untouched. */
  private boolean isIntact(EndpointResponse reply) {
    if (reply.headers().has("Content-Encoding")) {
      return false;
    }
    return !reply.isSuccess()
        || (reply.headers().has(headerNames.endpointSeal())
            && reply.headers().find(headerNames.requestId()).filter(request.id()::equals).isPresent());
  }

  private Optional<LoadReport> readLoadReport(EndpointResponse reply) {
    return reply.headers().find(headerNames.load()).flatMap(RequestExecution::parseLoadReport);
  }

  static Optional<LoadReport> parseLoadReport(String text) {
    String[] parts = text.split(",", -1);
    if (parts.length != 3) {
      return Optional.empty();
    }
    Integer runningCount = Ints.tryParse(parts[0].trim());
    Integer waitingCount = Ints.tryParse(parts[1].trim());
    Integer slots = Ints.tryParse(parts[2].trim());
    if (runningCount == null || waitingCount == null || slots == null) {
      return Optional.empty();
    }
    return Optional.of(new LoadReport(runningCount, waitingCount, slots));
  }

  private boolean canRetry() {
    return attemptsInFlight.isEmpty()
        && sentAttempts < request.rule().maxAttempts()
        && remainingMillis() > RESPONSE_TRANSFER_MARGIN_MILLIS;
  }

  private void onRejectedByEndpoint() {
    if (!attemptsInFlight.isEmpty()) {
      return;
    }
    if (canRetry()) {
      requestPlacement();
      return;
    }
    finish(failureOutcome("REFUSED_BY_ENDPOINT"));
  }

  private RequestOutcome failureOutcome(String reason) {
    return mayHaveRun
        ? new RequestOutcome.Unknown(RequestOutcome.Unknown.Cause.ENDPOINT_FAILED)
        : new RequestOutcome.NotRun(reason, request.rule().latencyObjectiveMillis() / 2);
  }

  private void retryOrFail(RequestOutcome.Unknown.Cause cause) {
    if (!attemptsInFlight.isEmpty()) {
      return;
    }
    if (request.rule().idempotent() && canRetry()) {
      requestPlacement();
      return;
    }
    finish(new RequestOutcome.Unknown(cause));
  }

  private void onTimeout() {
    boolean inFlight = !attemptsInFlight.isEmpty();
    cancelAttempts();
    finish(
        inFlight || mayHaveRun
            ? new RequestOutcome.Unknown(RequestOutcome.Unknown.Cause.TIMEOUT)
            : new RequestOutcome.NotRun("DEADLINE", request.rule().latencyObjectiveMillis()));
  }

  /** The caller has left: what still waits or runs for it ends. */
  void onCallerDisconnected() {
    if (outcome.isComplete()) {
      return;
    }
    cancelAttempts();
    finish(new RequestOutcome.CallerDisconnected());
  }

  private void cancelAttempts() {
    pendingPlacement.ifPresent(Placer.PendingPlacement::cancel);
    pendingPlacement = Optional.empty();
    for (Attempt current : ImmutableList.copyOf(attemptsInFlight)) {
      current.connection.close();
      current.finish(current.hedged ? Status.SILENT : Status.ABANDONED, Optional.empty());
    }
    attemptsInFlight.clear();
  }

  /** Ends the exchange; an endpoint's own failure is better than one made up here. */
  private void finish(RequestOutcome result) {
    timeout.ifPresent(ScheduledRunnable::cancel);
    boolean noAnswer =
        result instanceof RequestOutcome.NotRun || result instanceof RequestOutcome.Unknown;
    outcome.trySet(noAnswer && failedResponse.isPresent() ? failedResponse.get() : result);
  }
}
