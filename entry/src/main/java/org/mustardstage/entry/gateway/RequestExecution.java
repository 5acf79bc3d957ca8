package org.mustardstage.entry.gateway;

import com.google.common.base.Suppliers;
import com.google.common.collect.ImmutableList;
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
import java.util.function.Supplier;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.placement.AttemptResult;
import org.mustardstage.core.placement.AttemptResult.Status;
import org.mustardstage.core.placement.PlacementDecision;
import org.mustardstage.core.placement.RequestBlock;
import org.mustardstage.core.placement.RequestFingerprint;

/**
 * Executes one request of a caller: requests a placement, sends the request to the chosen endpoint,
 * and retries or hedges it as far as its idempotence and its rule allow. The outcome is the
 * response of an endpoint, or a failure that states whether the request may have run.
 */
final class RequestExecution {
  /**
   * Subtracted from the deadline sent to the endpoint, to leave time for the response to arrive.
   */
  private static final long RESPONSE_TRANSFER_MARGIN_MILLIS = 2;

  /** An endpoint that has not accepted the connection by then is taken to be gone. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

  /** Multiple of the expected response time after which an idempotent request is hedged. */
  private static final double HEDGE_DELAY_FACTOR = 3;

  private static final long MIN_HEDGE_DELAY_MILLIS = 500;

  /** Multiple of the expected response time after which a response is overdue. */
  private static final double OVERDUE_FACTOR = 1.5;

  /** Why a request is rejected that has ended several endpoints; sent to callers and logged. */
  private static final String CRASHES_ENDPOINTS = "CRASHES_ENDPOINTS";

  private static final int MAX_CONNECTIONS_PER_ENDPOINT = 64;
  private static final int MAX_FAILED_CONNECTS = 4;
  private static final int STATUS_MISDIRECTED = 421;
  private static final int MIN_SERVER_ERROR_STATUS = 500;

  private final NioReactor reactor;
  private final Placer placer;
  private final EndpointConnectionPool connections;
  private final EndpointLinkMonitor linkMonitor;
  private final CrashGuard crashGuard;
  private final LostAttempts lostAttempts;

  /** Computed when it is first needed, as it hashes the body. */
  private final Supplier<RequestFingerprint> fingerprint;

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

  /** A server error from an endpoint, forwarded if no other endpoint responds with a success. */
  private Optional<RequestOutcome.Responded> failedResponse = Optional.empty();

  /** One send of the request to one endpoint. */
  private final class Attempt {
    private final PlacementDecision.Placed placed;
    private final EndpointConnection connection;
    private final long startedNanos = System.nanoTime();
    private Optional<ScheduledRunnable> hedgeTimer = Optional.empty();
    private Optional<ScheduledRunnable> overdueTimer = Optional.empty();
    private boolean hedged;

    Attempt(PlacementDecision.Placed placed, EndpointConnection connection) {
      this.placed = placed;
      this.connection = connection;
    }

    boolean isOnNewConnection() {
      return connection.connectNanos().isPresent();
    }

    void finish(Status status) {
      finish(status, EndpointReport.NONE);
    }

    void finish(Status status, EndpointReport report) {
      hedgeTimer.ifPresent(ScheduledRunnable::cancel);
      overdueTimer.ifPresent(ScheduledRunnable::cancel);
      long elapsedNanos = System.nanoTime() - startedNanos;
      Optional<Long> connectNanos =
          connection.connectNanos().isPresent()
              ? Optional.of(connection.connectNanos().getAsLong())
              : Optional.empty();
      trace.add(placed.endpoint().id() + ":" + status + ":" + elapsedNanos / 1_000_000);
      placer.release(
          request.service(),
          placed,
          new AttemptResult(status, elapsedNanos, connectNanos, report.load(), report.notice()));
    }
  }

  RequestExecution(
      NioReactor reactor,
      Placer placer,
      EndpointConnectionPool connectionPool,
      EndpointLinkMonitor linkMonitor,
      CrashGuard crashGuard,
      HeaderNames headerNames,
      CallerRequest request) {
    this.reactor = reactor;
    this.placer = placer;
    this.connections = connectionPool;
    this.linkMonitor = linkMonitor;
    this.crashGuard = crashGuard;
    this.headerNames = headerNames;
    this.request = request;
    this.fingerprint = Suppliers.memoize(request::fingerprint);
    this.lostAttempts = new LostAttempts(reactor, connectionPool, crashGuard, fingerprint);
  }

  /** Starts the execution. The returned promise never fails. */
  Promise<RequestOutcome> start() {
    long remainingMillis = remainingMillis();
    timeout = Optional.of(reactor.delay(Math.max(1, remainingMillis), this::onTimeout));
    requestPlacement();
    return outcome;
  }

  /** Returns the attempts and rejections so far, in order, for the request log. */
  List<String> trace() {
    return trace;
  }

  /** Returns how many attempts ended without a response because their connection was lost. */
  int lostAttempts() {
    return lostAttempts.count();
  }

  private long remainingMillis() {
    return TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - System.nanoTime());
  }

  private void requestPlacement() {
    if (rejectBlocked()) {
      return;
    }
    long objectiveDeadlineNanos =
        request.arrivalNanos()
            + TimeUnit.MILLISECONDS.toNanos(request.rule().latencyObjectiveMillis());
    boolean[] decidedSynchronously = new boolean[1];
    Placer.PendingPlacement pending =
        placer.place(
            new PlacementRequest(
                request.service(),
                request.rule(),
                request.affinityKey(),
                request.arrivalNanos(),
                objectiveDeadlineNanos,
                request.deadlineNanos(),
                triedEndpoints,
                sentAttempts > 0),
            decision -> {
              decidedSynchronously[0] = true;
              onDecision(decision);
            });
    if (!decidedSynchronously[0]) {
      pendingPlacement = Optional.of(pending);
    }
  }

  /** Ends the request if it is blocked, as it has ended several endpoints. */
  private boolean rejectBlocked() {
    Optional<RequestBlock> block = crashGuard.findBlock(fingerprint);
    if (block.isEmpty()) {
      return false;
    }
    trace.add(CRASHES_ENDPOINTS);
    if (attemptsInFlight.isEmpty()) {
      finish(failureOutcome(CRASHES_ENDPOINTS, block.get().remainingMillis()));
    }
    return true;
  }

  private void onDecision(PlacementDecision decision) {
    pendingPlacement = Optional.empty();
    switch (decision) {
      case PlacementDecision.Placed placed -> {
        if (outcome.isComplete() || rejectBlocked()) {
          placer.release(request.service(), placed, AttemptResult.abandoned());
          return;
        }
        send(placed);
      }
      case PlacementDecision.Rejected rejected -> {
        trace.add(rejected.reason().toString());
        if (!attemptsInFlight.isEmpty()) {
          return;
        }
        finish(failureOutcome(rejected.reason().toString(), rejected.retryAfterMillis()));
      }
    }
  }

  private void send(PlacementDecision.Placed placed) {
    RegisteredEndpoint endpoint = placed.endpoint();
    long remainingMillis = remainingMillis() - RESPONSE_TRANSFER_MARGIN_MILLIS;
    byte[] bytes =
        RequestEncoder.encode(request, endpoint, headerNames, Math.max(1, remainingMillis));
    boolean withoutBody = request.method() == HttpMethod.HEAD;
    Optional<EndpointConnection> idle =
        connections.acquireIdle(endpoint.address(), System.nanoTime(), request.rule().idempotent());
    EndpointConnection connection;
    Promise<Either<ConnectionFailure, EndpointResponse>> response;
    triedEndpoints.add(endpoint.id());
    if (idle.isPresent()) {
      connection = idle.get();
      response = connection.send(request.id(), withoutBody, bytes);
    } else {
      Optional<EndpointConnection> created =
          connections.create(endpoint.address(), MAX_CONNECTIONS_PER_ENDPOINT);
      if (created.isEmpty()) {
        placer.release(request.service(), placed, AttemptResult.abandoned());
        if (attemptsInFlight.isEmpty()) {
          finish(failureOutcome("NO_LINK"));
        }
        return;
      }
      connection = created.get();
      Duration connectTimeout =
          Duration.ofMillis(Math.min(CONNECT_TIMEOUT.toMillis(), Math.max(1, remainingMillis)));
      response = connection.connectAndSend(connectTimeout, request.id(), withoutBody, bytes);
    }
    sentAttempts++;
    Attempt current = new Attempt(placed, connection);
    attemptsInFlight.add(current);
    scheduleHedge(current);
    scheduleOverdueCheck(current);
    response.whenResult(result -> onAttemptResult(current, result));
  }

  private void scheduleOverdueCheck(Attempt current) {
    long expectedMillis = TimeUnit.NANOSECONDS.toMillis(current.placed.expectedResponseNanos());
    current.overdueTimer =
        Optional.of(
            reactor.delayBackground(
                Math.max(MIN_HEDGE_DELAY_MILLIS, (long) (OVERDUE_FACTOR * expectedMillis)),
                () -> linkMonitor.recordOverdue(current.startedNanos)));
  }

  private void scheduleHedge(Attempt current) {
    if (!request.rule().idempotent() || sentAttempts >= request.rule().maxAttempts()) {
      return;
    }
    long expectedMillis = TimeUnit.NANOSECONDS.toMillis(current.placed.expectedResponseNanos());
    long hedgeDelayMillis =
        Math.max(MIN_HEDGE_DELAY_MILLIS, (long) (HEDGE_DELAY_FACTOR * expectedMillis));
    if (hedgeDelayMillis + expectedMillis < remainingMillis()) {
      current.hedgeTimer =
          Optional.of(reactor.delay(hedgeDelayMillis, () -> onHedgeDelay(current)));
    }
  }

  /**
   * Hedges the request if its endpoint has responded to no request since this one was sent. The
   * first attempt keeps running: the first response wins, and nothing is lost if no second endpoint
   * is available.
   */
  private void onHedgeDelay(Attempt current) {
    if (!attemptsInFlight.contains(current) || attemptsInFlight.size() > 1) {
      return;
    }
    if (connections.lastResponseNanos(current.placed.endpoint().address()) - current.startedNanos
        > 0) {
      scheduleHedge(current);
      return;
    }
    current.hedged = true;
    connections.closeIdle(current.placed.endpoint().address());
    requestPlacement();
  }

  private void onAttemptResult(
      Attempt current, Either<ConnectionFailure, EndpointResponse> result) {
    if (!attemptsInFlight.remove(current)) {
      return;
    }
    if (result.isRight()) {
      onResponse(current, result.get());
      return;
    }
    switch (result.getLeft()) {
      case CONNECT_REFUSED, CONNECT_TIMED_OUT -> {
        trace.add(current.placed.endpoint().id() + ":" + result.getLeft());
        linkMonitor.recordConnectFailed(current.placed.endpoint());
        current.finish(Status.UNREACHABLE);
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
        recordLost(current, "LOST_AFTER_IDLE");
        current.finish(Status.ABANDONED);
        triedEndpoints.remove(current.placed.endpoint().id());
        mayHaveRun = true;
        retryOrFail(RequestOutcome.Unknown.Cause.ANSWER_LOST);
      }
      case CONNECTION_LOST -> {
        recordLost(current, "LOST");
        current.finish(Status.SPOILED);
        mayHaveRun = true;
        retryOrFail(RequestOutcome.Unknown.Cause.ANSWER_LOST);
      }
      case MALFORMED -> {
        current.finish(Status.SPOILED);
        mayHaveRun = true;
        retryOrFail(RequestOutcome.Unknown.Cause.ANSWER_LOST);
      }
    }
  }

  private void recordLost(Attempt current, String how) {
    RegisteredEndpoint endpoint = current.placed.endpoint();
    if (current.isOnNewConnection()) {
      linkMonitor.recordConnectFailed(endpoint);
    }
    trace.add(endpoint.id() + ":" + how);
    lostAttempts.record(endpoint);
  }

  private void onResponse(Attempt current, EndpointResponse response) {
    if (current.isOnNewConnection()) {
      linkMonitor.recordConnected();
    }
    EndpointReport report = EndpointReport.read(response, headerNames);
    boolean notRun =
        response.headers().has(headerNames.notExecuted())
            || response.status() == STATUS_MISDIRECTED;
    if (notRun && echoesRequestId(response)) {
      boolean misdirected = response.status() == STATUS_MISDIRECTED;
      returnToPool(current);
      if (misdirected) {
        // Another endpoint responded, whose load and notices say nothing about the expected one.
        current.finish(Status.MISDIRECTED);
      } else {
        current.finish(Status.REFUSED, report);
      }
      onRejectedByEndpoint();
      return;
    }
    if (!isIntact(response)) {
      current.connection.close();
      current.finish(Status.SPOILED, report);
      mayHaveRun = true;
      retryOrFail(RequestOutcome.Unknown.Cause.ANSWER_SPOILED);
      return;
    }
    returnToPool(current);
    lostAttempts.recordResponse();
    boolean failed = response.status() >= MIN_SERVER_ERROR_STATUS;
    current.finish(failed ? Status.FAILED : Status.ANSWERED, report);
    if (failed && !attemptsInFlight.isEmpty()) {
      mayHaveRun = true;
      return;
    }
    RequestOutcome.Responded responded =
        new RequestOutcome.Responded(response, current.placed.endpoint().id());
    if (failed && request.rule().idempotent() && canRetry()) {
      mayHaveRun = true;
      failedResponse = Optional.of(responded);
      requestPlacement();
      return;
    }
    cancelAttempts();
    finish(responded);
  }

  private void returnToPool(Attempt current) {
    connections.release(current.placed.endpoint().address(), current.connection);
  }

  /**
   * Returns whether the response was produced by the endpoint for this request and not altered on
   * the way: it echoes the request's id and has no content encoding, and a success has the
   * endpoint's seal. A status that promises that the request has not run needs the header that says
   * so.
   */
  private boolean isIntact(EndpointResponse response) {
    if (response.headers().has("Content-Encoding")
        || !echoesRequestId(response)
        || response.promisesNotRun()) {
      return false;
    }
    return !response.isSuccess() || response.headers().has(headerNames.endpointSeal());
  }

  private boolean echoesRequestId(EndpointResponse response) {
    return response
        .headers()
        .find(headerNames.requestId())
        .filter(request.id()::equals)
        .isPresent();
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
    return failureOutcome(reason, request.rule().latencyObjectiveMillis() / 2);
  }

  private RequestOutcome failureOutcome(String reason, long retryAfterMillis) {
    return mayHaveRun
        ? new RequestOutcome.Unknown(RequestOutcome.Unknown.Cause.ENDPOINT_FAILED)
        : new RequestOutcome.NotRun(reason, retryAfterMillis);
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

  /** Cancels the pending placement and all attempts, as nobody waits for the response. */
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
      current.finish(current.hedged ? Status.SILENT : Status.ABANDONED);
    }
    attemptsInFlight.clear();
  }

  /** Completes the execution, preferring an endpoint's server error to a failure generated here. */
  private void finish(RequestOutcome newOutcome) {
    timeout.ifPresent(ScheduledRunnable::cancel);
    boolean noResponse =
        newOutcome instanceof RequestOutcome.NotRun || newOutcome instanceof RequestOutcome.Unknown;
    outcome.trySet(noResponse && failedResponse.isPresent() ? failedResponse.get() : newOutcome);
  }
}
