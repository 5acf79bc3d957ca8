package org.mustardstage.entry.gateway;

import com.google.common.base.Suppliers;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Sets;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.placement.AttemptResult;
import org.mustardstage.core.placement.AttemptResult.Status;
import org.mustardstage.core.placement.PlacementDecision;
import org.mustardstage.core.placement.RejectionReason;
import org.mustardstage.core.placement.RequestBlock;
import org.mustardstage.core.placement.RequestFingerprint;
import org.mustardstage.core.tenant.Tenant;
import org.mustardstage.core.transfer.TransferBudget;
import org.mustardstage.entry.log.Event;
import org.mustardstage.entry.log.EventLog;

/**
 * Executes one request of a caller: requests a placement, sends the request to the chosen endpoint,
 * and retries or hedges it as far as its idempotence and its rule allow. While this VM is cut off
 * from the endpoints, relays it to another VM instead. The outcome is the response of an endpoint,
 * or a failure that states whether the request may have run.
 *
 * <p>An error ends the request in which it is thrown, with the response that has arrived if there
 * is one, and does not reach the code that called the request.
 */
final class RequestExecution implements EndpointLinkMonitor.Listener {
  /**
   * Subtracted from the deadline sent to the endpoint, to leave time for the response to arrive.
   */
  private static final long RESPONSE_TRANSFER_MARGIN_MILLIS = 2;

  /** Multiple of the expected response time after which an idempotent request is hedged. */
  private static final double HEDGE_DELAY_FACTOR = 3;

  /** Multiple of the expected response time after which a response is overdue. */
  private static final double OVERDUE_FACTOR = 1.5;

  private static final long MIN_HEDGE_DELAY_MILLIS = 500;

  private static final int MAX_FAILED_CONNECTS = 4;

  /** From then on a request is relayed if other failures speak against the links too. */
  private static final int FAILED_CONNECTS_UNTIL_RELAYED = 2;

  /**
   * An endpoint that responded this recently, on a connection that is still open, has not ended.
   */
  private static final long RECENT_RESPONSE_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final int MIN_SERVER_ERROR_STATUS = 500;

  /** Stands in the trace before the endpoint of a hedge. */
  private static final String HEDGE = "HEDGE";

  private final GatewayServices services;
  private final NioReactor reactor;
  private final EndpointConnectionPool connections;
  private final EndpointLinkMonitor linkMonitor;
  private final LostAttempts lostAttempts;

  /** Computed when it is first needed, as it hashes the body. */
  private final Supplier<RequestFingerprint> fingerprint;

  private final CallerRequest request;

  /** The room for the response, if it is a large one. */
  private final Optional<TransferBudget<String>.Transfer> transfer;

  private final SettablePromise<RequestOutcome> outcome = new SettablePromise<>();
  private final Set<EndpointId> triedEndpoints = new HashSet<>();
  private final List<String> trace = new ArrayList<>();

  /** Created when it is first needed, as few requests are relayed. */
  private final Supplier<RequestRelay> relay;

  private final List<RequestAttempt> attemptsInFlight = new ArrayList<>();
  private Optional<Placer.PendingPlacement> pendingPlacement = Optional.empty();
  private Optional<ScheduledRunnable> timeout = Optional.empty();

  private final AttemptBudget attemptBudget;
  private final AttemptPermit permit;
  private int failedConnects;
  private Optional<StreamedAttempt> streamed = Optional.empty();
  private boolean relaying;
  private boolean mayHaveRun;

  /**
   * The last response of an endpoint. A server error is forwarded if no other endpoint responds
   * with a success.
   */
  private Optional<RequestOutcome.Responded> arrivedResponse = Optional.empty();

  RequestExecution(
      GatewayServices services,
      CallerRequest request,
      Optional<TransferBudget<String>.Transfer> transfer,
      ConfigVersion configVersion) {
    this.services = services;
    this.reactor = services.reactor();
    this.connections = services.connections();
    this.linkMonitor = services.linkMonitor();
    this.request = request;
    this.transfer = transfer;
    this.fingerprint = Suppliers.memoize(request::fingerprint);
    this.lostAttempts =
        new LostAttempts(reactor, connections, linkMonitor, services.crashGuard(), fingerprint);
    this.relay =
        Suppliers.memoize(
            () ->
                new RequestRelay(
                    services.relayNetwork(),
                    request,
                    configVersion,
                    trace,
                    result -> runStep(() -> onRelayResult(result))));
    this.attemptBudget = new AttemptBudget(request);
    this.permit = new AttemptPermit(services.quotas(), request.tenant().map(Tenant::name));
  }

  /** Starts the execution. The returned promise never fails. */
  Promise<RequestOutcome> start() {
    long remainingMillis = remainingMillis();
    timeout =
        Optional.of(reactor.delay(Math.max(1, remainingMillis), () -> runStep(this::onTimeout)));
    linkMonitor.addListener(this);
    runStep(this::requestPlacement);
    return outcome;
  }

  /** Runs a step of this request, which an error in it ends. */
  private void runStep(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException | Error e) {
      onFault(e);
    }
  }

  private void onFault(Throwable fault) {
    EventLog.log(Event.TRAFFIC_FAULT, fault, "request", request.id());
    boolean sent = mayHaveRun || isInFlight();
    finish(
        sent
            ? new RequestOutcome.Unknown(RequestOutcome.Unknown.Cause.INTERNAL_ERROR)
            : new RequestOutcome.NotRun(
                NotRunReasons.INTERNAL_ERROR, request.rule().latencyObjectiveMillis()));
    cancelAttempts();
  }

  /** Returns the attempts and rejections so far, in order, for the request log. */
  List<String> trace() {
    return trace;
  }

  /** Returns whether a slow attempt had a hedge beside it. */
  boolean isHedged() {
    return trace.contains(HEDGE);
  }

  /** Returns whether the hedge responded before the slow attempt. */
  boolean isOvertaken() {
    return trace.stream().anyMatch(entry -> entry.contains(Status.OVERTAKEN.name()));
  }

  /** Returns how many attempts ended without a response because their connection was lost. */
  int lostAttempts() {
    return lostAttempts.count();
  }

  private long remainingMillis() {
    return TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - System.nanoTime());
  }

  /**
   * Requests an endpoint, or relays the request if this VM reaches none. A placement that waits
   * already, for a hedge, serves as the retry of an attempt that failed meanwhile.
   */
  private void requestPlacement() {
    if (pendingPlacement.isPresent() || permit.isWaiting() || rejectBlocked()) {
      return;
    }
    boolean isRelayed = request.relay().isPresent();
    if (linkMonitor.isCutOff()) {
      if (!isRelayed && startRelay()) {
        return;
      }
      if (isRelayed || !linkMonitor.hasLiveConnections()) {
        failUnlessInFlight(NotRunReasons.CUT_OFF);
        return;
      }
    } else if (!isRelayed
        && failedConnects >= FAILED_CONNECTS_UNTIL_RELAYED
        && linkMonitor.isSuspected()
        && startRelay()) {
      return;
    }
    placeLocally();
  }

  /** Requests an endpoint, if the quota of the tenant allows another attempt now. */
  private void placeLocally() {
    permit.acquire(
        () -> runStep(this::placeWithPermit),
        refusal -> runStep(() -> onNoPermit(refusal)),
        () -> {});
  }

  private void onNoPermit(RequestOutcome.NotRun refusal) {
    trace.add(refusal.reason());
    if (!isInFlight()) {
      finish(failureOutcome(refusal.reason(), refusal.retryAfterMillis()));
    }
  }

  private void placeWithPermit() {
    boolean[] decidedSynchronously = new boolean[1];
    Placer.PendingPlacement pending =
        services
            .placer()
            .place(
                placementRequest(),
                decision -> {
                  decidedSynchronously[0] = true;
                  runStep(() -> onDecision(decision));
                });
    if (!decidedSynchronously[0]) {
      pendingPlacement = Optional.of(pending);
      permit.putBack();
    }
  }

  private PlacementRequest placementRequest() {
    long objectiveDeadlineNanos =
        request.arrivalNanos()
            + TimeUnit.MILLISECONDS.toNanos(request.rule().latencyObjectiveMillis());
    return new PlacementRequest(
        request.service(),
        request.rule(),
        request.tenant(),
        request.affinityKey(),
        request.arrivalNanos(),
        objectiveDeadlineNanos,
        request.deadlineNanos(),
        excludedEndpoints(),
        attemptBudget.nextUse());
  }

  private Set<EndpointId> excludedEndpoints() {
    Set<EndpointId> unusable = linkMonitor.unusableEndpoints(request);
    return unusable.isEmpty() ? triedEndpoints : Sets.union(triedEndpoints, unusable);
  }

  /** Relays the request to another VM; returns whether that was decided. */
  private boolean startRelay() {
    if (relaying || !attemptBudget.hasAttempt() || !relay.get().hasVm()) {
      return false;
    }
    switch (attemptBudget.nextUse()) {
      case FIRST_ATTEMPT -> services.placer().recordFirstAttempt(request.service());
      case RETRY -> {
        if (!services.placer().tryAcquireRetry(request.service())) {
          failUnlessInFlight(RejectionReason.REPEATS_SPENT.toString());
          return true;
        }
      }
      case NOT_SENT_BEFORE -> {}
    }
    relaying = true;
    relay.get().start(attemptBudget.handOver());
    return true;
  }

  private void onRelayResult(RequestRelay.Result result) {
    relaying = false;
    switch (result) {
      case RequestRelay.Result.Responded responded -> onRelayedResponse(responded.response());
      case RequestRelay.Result.NotRun notRun -> {
        attemptBudget.takeBack();
        if (attemptsInFlight.isEmpty()) {
          finish(failureOutcome(notRun.reason(), notRun.retryAfterMillis()));
        }
      }
      case RequestRelay.Result.Unknown unknown -> {
        mayHaveRun = true;
        if (attemptsInFlight.isEmpty()) {
          finish(new RequestOutcome.Unknown(unknown.cause()));
        }
      }
      case RequestRelay.Result.Lost lost -> {
        mayHaveRun = true;
        retryOrFail(RequestOutcome.Unknown.Cause.ANSWER_LOST);
      }
      case RequestRelay.Result.NoVm noVm -> {
        attemptBudget.takeBack();
        if (linkMonitor.isCutOff() && !linkMonitor.hasLiveConnections()) {
          failUnlessInFlight(NotRunReasons.CUT_OFF);
        } else if (attemptsInFlight.isEmpty()) {
          placeLocally();
        }
      }
    }
  }

  private void onRelayedResponse(EndpointResponse response) {
    RequestOutcome.Responded responded = new RequestOutcome.Responded(response);
    arrivedResponse = Optional.of(responded);
    if (response.status() >= MIN_SERVER_ERROR_STATUS && !attemptsInFlight.isEmpty()) {
      mayHaveRun = true;
      return;
    }
    cancelAttempts();
    finish(responded);
  }

  @Override
  public void onCutOff() {
    runStep(this::relayUnsent);
  }

  /** Relays what waits for an endpoint, as none is reached any more. */
  private void relayUnsent() {
    if (outcome.isComplete() || relaying) {
      return;
    }
    boolean waiting = pendingPlacement.isPresent() || permit.isWaiting();
    permit.cancel();
    pendingPlacement.ifPresent(Placer.PendingPlacement::cancel);
    pendingPlacement = Optional.empty();
    for (RequestAttempt attempt : ImmutableList.copyOf(attemptsInFlight)) {
      if (attempt.connection().isConnecting()) {
        waiting = true;
        attemptsInFlight.remove(attempt);
        attempt.cancel();
        permit.putBack(attempt.permit());
        attemptBudget.recordNotSent();
      }
    }
    if (attemptsInFlight.isEmpty()) {
      if (waiting) {
        requestPlacement();
      }
      return;
    }
    if (!linkMonitor.hasLiveConnections()
        && request.rule().idempotent()
        && attemptBudget.hasAttempt()) {
      hedge(attemptsInFlight.getLast());
    }
  }

  /** Ends the request if it is blocked, as it has ended several endpoints. */
  private boolean rejectBlocked() {
    Optional<RequestBlock> block = services.crashGuard().findBlock(fingerprint);
    if (block.isEmpty()) {
      return false;
    }
    trace.add(NotRunReasons.CRASHES_ENDPOINTS);
    if (!isInFlight()) {
      finish(failureOutcome(NotRunReasons.CRASHES_ENDPOINTS, block.get().remainingMillis()));
    }
    return true;
  }

  private boolean isInFlight() {
    return relaying || !attemptsInFlight.isEmpty();
  }

  private void failUnlessInFlight(String reason) {
    trace.add(reason);
    if (!isInFlight()) {
      finish(failureOutcome(reason));
    }
  }

  private void onDecision(PlacementDecision decision) {
    pendingPlacement = Optional.empty();
    switch (decision) {
      case PlacementDecision.Placed placed -> {
        if (outcome.isComplete() || rejectBlocked()) {
          release(placed);
          permit.putBack();
          return;
        }
        permit.acquire(
            () -> runStep(() -> send(placed)),
            refusal ->
                runStep(
                    () -> {
                      release(placed);
                      onNoPermit(refusal);
                    }),
            () -> release(placed));
      }
      case PlacementDecision.Rejected rejected -> {
        permit.putBack();
        trace.add(rejected.reason().toString());
        if (linkMonitor.reachesFew() && request.relay().isEmpty() && startRelay()) {
          return;
        }
        if (!isInFlight()) {
          finish(failureOutcome(rejected.reason().toString(), rejected.retryAfterMillis()));
        }
      }
    }
  }

  /** Releases the slot of a placement for which no attempt is sent. */
  private void release(PlacementDecision.Placed placed) {
    services.placer().release(request.service(), placed, AttemptResult.abandoned());
  }

  private void send(PlacementDecision.Placed placed) {
    triedEndpoints.add(placed.endpoint().id());
    Optional<EndpointConnectionPool.Sent> sent = Optional.empty();
    RequestAttempt current;
    try {
      sent = sendTo(placed.endpoint());
      if (sent.isEmpty()) {
        release(placed);
        permit.putBack();
        failUnlessInFlight(NotRunReasons.NO_LINK);
        return;
      }
      attemptBudget.recordSent();
      current =
          new RequestAttempt(
              services.placer(),
              request.service(),
              placed,
              sent.get().connection(),
              permit.take(),
              trace);
      attemptsInFlight.add(current);
    } catch (RuntimeException | Error e) {
      mayHaveRun = true;
      sent.map(EndpointConnectionPool.Sent::connection).ifPresent(EndpointConnection::close);
      release(placed);
      throw e;
    }
    scheduleHedge(current);
    scheduleTailHedge(current);
    scheduleOverdueCheck(current);
    sent.get().response().whenResult(result -> runStep(() -> onAttemptResult(current, result)));
  }

  private Optional<EndpointConnectionPool.Sent> sendTo(RegisteredEndpoint endpoint) {
    long remainingMillis = remainingMillis() - RESPONSE_TRANSFER_MARGIN_MILLIS;
    byte[] bytes =
        RequestEncoder.encode(
            request, endpoint, services.headerNames(), Math.max(1, remainingMillis));
    return connections.send(endpoint.address(), request, transfer, bytes);
  }

  private void scheduleOverdueCheck(RequestAttempt current) {
    long delayMillis =
        Math.max(MIN_HEDGE_DELAY_MILLIS, (long) (OVERDUE_FACTOR * current.expectedMillis()));
    current.addTimer(
        reactor.delayBackground(
            delayMillis,
            () -> linkMonitor.recordOverdue(current.endpoint(), current.startedNanos())));
  }

  private void scheduleHedge(RequestAttempt current) {
    if (!request.rule().idempotent() || !attemptBudget.hasAttempt()) {
      return;
    }
    long expectedMillis = current.expectedMillis();
    long hedgeDelayMillis =
        Math.max(MIN_HEDGE_DELAY_MILLIS, (long) (HEDGE_DELAY_FACTOR * expectedMillis));
    if (hedgeDelayMillis + expectedMillis < remainingMillis()) {
      current.addTimer(reactor.delay(hedgeDelayMillis, () -> runStep(() -> onHedgeDelay(current))));
    }
  }

  /**
   * Hedges the request if its endpoint has responded to no request since this one was sent. The
   * first attempt keeps running: the first response wins, and nothing is lost if no second endpoint
   * is available.
   */
  private void onHedgeDelay(RequestAttempt current) {
    if (!attemptsInFlight.contains(current) || attemptsInFlight.size() > 1 || relaying) {
      return;
    }
    if (connections.lastResponseNanos(current.endpoint().address()) - current.startedNanos() > 0) {
      scheduleHedge(current);
      return;
    }
    hedge(current);
  }

  private void hedge(RequestAttempt current) {
    current.markHedged();
    connections.closeIdle(current.endpoint().address());
    requestPlacement();
  }

  private void scheduleTailHedge(RequestAttempt current) {
    if (!request.rule().idempotent()
        || request.rule().largeResponses()
        || !attemptBudget.hasAttempt()) {
      return;
    }
    services
        .placer()
        .hedgeDelayMillis(request.service(), current.expectedMillis(), remainingMillis())
        .ifPresent(
            delayMillis ->
                current.addTimer(
                    reactor.delay(delayMillis, () -> runStep(() -> onTailDelay(current)))));
  }

  /** Hedges the request, as the response takes longer than nearly all recent ones did. */
  private void onTailDelay(RequestAttempt current) {
    boolean busy = pendingPlacement.isPresent() || permit.isWaiting() || relaying;
    if (busy || attemptsInFlight.size() != 1 || !attemptsInFlight.contains(current)) {
      return;
    }
    services
        .placer()
        .placeHedge(placementRequest())
        .ifPresent(
            placed -> {
              trace.add(HEDGE);
              current.markInTail();
              onDecision(placed);
            });
  }

  private void onAttemptResult(
      RequestAttempt current, Either<ConnectionFailure, EndpointResponse> result) {
    if (!attemptsInFlight.remove(current)) {
      return;
    }
    try {
      if (result.isRight()) {
        onResponse(current, result.get());
      } else {
        onConnectionFailure(current, result.getLeft());
      }
    } catch (RuntimeException | Error e) {
      mayHaveRun = true;
      current.cancelAfterFault();
      throw e;
    }
  }

  private void onConnectionFailure(RequestAttempt current, ConnectionFailure failure) {
    switch (failure) {
      case CONNECT_REFUSED, CONNECT_TIMED_OUT -> onConnectFailed(current, failure);
      case RESET_AFTER_IDLE -> {
        connections.recordIdleReset(current.endpoint().address(), current.connection());
        recordLost(current, "LOST_AFTER_IDLE");
        current.finish(Status.ABANDONED);
        triedEndpoints.remove(current.endpoint().id());
        mayHaveRun = true;
        retryOrFail(RequestOutcome.Unknown.Cause.ANSWER_LOST);
      }
      case CONNECTION_LOST -> {
        recordLost(current, "LOST");
        current.finish(Status.SPOILED);
        mayHaveRun = true;
        if (services.crashGuard().allowsRetryAfterLoss()) {
          retryOrFail(RequestOutcome.Unknown.Cause.ANSWER_LOST);
        } else if (!isInFlight()) {
          finish(new RequestOutcome.Unknown(RequestOutcome.Unknown.Cause.ANSWER_LOST));
        }
      }
      case MALFORMED -> {
        current.finish(Status.SPOILED);
        mayHaveRun = true;
        retryOrFail(RequestOutcome.Unknown.Cause.ANSWER_LOST);
      }
    }
  }

  private void onConnectFailed(RequestAttempt current, ConnectionFailure failure) {
    RegisteredEndpoint endpoint = current.endpoint();
    trace.add(endpoint.id() + ":" + failure);
    linkMonitor.recordConnectFailed(endpoint, current.startedNanos());
    boolean isAlive = connections.isAlive(endpoint.address(), RECENT_RESPONSE_NANOS);
    current.finish(isAlive ? Status.ABANDONED : Status.UNREACHABLE);
    attemptBudget.recordNotSent();
    permit.putBack(current.permit());
    failedConnects++;
    if (isInFlight()) {
      return;
    }
    if (failedConnects >= MAX_FAILED_CONNECTS) {
      finish(failureOutcome(NotRunReasons.ENDPOINTS_UNREACHABLE));
      return;
    }
    requestPlacement();
  }

  private void recordLost(RequestAttempt current, String how) {
    RegisteredEndpoint endpoint = current.endpoint();
    trace.add(endpoint.id() + ":" + how);
    lostAttempts.record(endpoint);
  }

  private void onResponse(RequestAttempt current, EndpointResponse response) {
    HeaderNames headerNames = services.headerNames();
    EndpointReport report = EndpointReport.read(response, headerNames);
    ResponseIntegrity integrity = new ResponseIntegrity(headerNames, request.id());
    if (integrity.isOfExpectedEndpoint(response)) {
      linkMonitor.recordResponse(
          current.endpoint(), current.startedNanos(), current.isOnNewConnection());
    }
    if (integrity.provesNotRun(response)) {
      returnToPool(current);
      permit.putBack(current.permit());
      if (response.isMisdirected()) {
        // Another endpoint responded, whose load and notices say nothing about the expected one.
        current.finish(Status.MISDIRECTED);
      } else {
        current.finish(Status.REFUSED, report);
      }
      onRejectedByEndpoint();
      return;
    }
    if (!integrity.isIntact(response)) {
      current.connection().close();
      current.finish(Status.SPOILED, report);
      mayHaveRun = true;
      retryOrFail(RequestOutcome.Unknown.Cause.ANSWER_SPOILED);
      return;
    }
    RequestOutcome.Responded responded = new RequestOutcome.Responded(response);
    arrivedResponse = Optional.of(responded);
    lostAttempts.recordResponse();
    if (response.stream().isPresent()) {
      trace.add(current.endpoint().id() + ":STREAMED");
      StreamedAttempt attempt =
          new StreamedAttempt(services, request, current, report, response.stream().get());
      streamed = Optional.of(attempt);
      attempt.start();
      cancelAttempts();
      finish(responded);
      return;
    }
    returnToPool(current);
    boolean failed = response.status() >= MIN_SERVER_ERROR_STATUS;
    current.finish(failed ? Status.FAILED : Status.ANSWERED, report);
    if (failed && isInFlight()) {
      mayHaveRun = true;
      return;
    }
    if (failed && request.rule().idempotent() && canRetry()) {
      mayHaveRun = true;
      requestPlacement();
      return;
    }
    List<RequestAttempt> overtaken = ImmutableList.copyOf(attemptsInFlight);
    attemptsInFlight.clear();
    overtaken.forEach(RequestAttempt::cancelOvertaken);
    cancelAttempts();
    finish(responded);
  }

  private void returnToPool(RequestAttempt current) {
    connections.release(current.endpoint().address(), current.connection());
  }

  private boolean canRetry() {
    return !isInFlight()
        && attemptBudget.hasAttempt()
        && remainingMillis() > RESPONSE_TRANSFER_MARGIN_MILLIS;
  }

  private void onRejectedByEndpoint() {
    if (isInFlight()) {
      return;
    }
    if (canRetry()) {
      requestPlacement();
      return;
    }
    finish(failureOutcome(NotRunReasons.REFUSED_BY_ENDPOINT));
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
    if (isInFlight()) {
      return;
    }
    if (request.rule().idempotent() && canRetry()) {
      requestPlacement();
      return;
    }
    finish(new RequestOutcome.Unknown(cause));
  }

  private void onTimeout() {
    boolean inFlight = isInFlight();
    cancelAttempts();
    finish(
        inFlight || mayHaveRun
            ? new RequestOutcome.Unknown(RequestOutcome.Unknown.Cause.TIMEOUT)
            : new RequestOutcome.NotRun(
                NotRunReasons.DEADLINE, request.rule().latencyObjectiveMillis()));
  }

  /** Cancels the pending placement and all attempts, as nobody waits for the response. */
  void onCallerDisconnected() {
    runStep(this::cancelForCaller);
  }

  private void cancelForCaller() {
    if (outcome.isComplete()) {
      streamed.ifPresent(StreamedAttempt::onCallerDisconnected);
      return;
    }
    boolean sent = mayHaveRun || isInFlight();
    cancelAttempts();
    finish(new RequestOutcome.CallerDisconnected(sent));
  }

  /**
   * Ends the request, as the process exits before its response can arrive.
   *
   * @param retryAfterMillis after how long the caller should retry a request that was not sent
   */
  void onExit(long retryAfterMillis) {
    runStep(() -> endAtExit(retryAfterMillis));
  }

  private void endAtExit(long retryAfterMillis) {
    if (outcome.isComplete()) {
      return;
    }
    boolean sent = mayHaveRun || isInFlight();
    cancelAttempts();
    finish(
        sent
            ? new RequestOutcome.Unknown(RequestOutcome.Unknown.Cause.VM_STOPPED)
            : new RequestOutcome.NotRun(NotRunReasons.STOPPING, retryAfterMillis));
  }

  private void cancelAttempts() {
    // First, as an error in what follows must not hide that the request was sent.
    mayHaveRun |= isInFlight();
    permit.cancel();
    pendingPlacement.ifPresent(Placer.PendingPlacement::cancel);
    pendingPlacement = Optional.empty();
    if (relaying) {
      relaying = false;
      relay.get().cancel();
    }
    List<RequestAttempt> cancelled = ImmutableList.copyOf(attemptsInFlight);
    attemptsInFlight.clear();
    cancelled.forEach(RequestAttempt::cancel);
  }

  /** Completes the execution, preferring an endpoint's response to a failure generated here. */
  private void finish(RequestOutcome newOutcome) {
    timeout.ifPresent(ScheduledRunnable::cancel);
    linkMonitor.removeListener(this);
    boolean noResponse =
        newOutcome instanceof RequestOutcome.NotRun || newOutcome instanceof RequestOutcome.Unknown;
    outcome.trySet(noResponse && arrivedResponse.isPresent() ? arrivedResponse.get() : newOutcome);
  }
}
