package org.mustardstage.entry.traffic;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.AbstractChannelSupplier;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.http.HttpHeaderValue;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.MalformedHttpException;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.core.outcome.AttemptFailure;
import org.mustardstage.core.outcome.AttemptFailure.DidNotRun;
import org.mustardstage.core.outcome.AttemptFailure.MayHaveRun;
import org.mustardstage.core.outcome.NotRunReason;
import org.mustardstage.core.outcome.UnknownOutcomeCause;
import org.mustardstage.entry.control.AdmissionDecision.Admitted;
import org.mustardstage.entry.control.AttemptReport;

/** One attempt at an endpoint, from its permit to the end of the response. */
final class EndpointAttempt {
  private static final int REJECTION_STATUS = 503;

  private final TrafficThread thread;
  private final CallerRequest request;
  private final Admitted admitted;
  private final String requestId;
  private final MillisHeaderValue deadline = new MillisHeaderValue();
  private final SettablePromise<AttemptResult> result = new SettablePromise<>();
  private final long startNanos = System.nanoTime();
  private EndpointConnection connection;
  private OptionalDouble utilization = OptionalDouble.empty();
  private Optional<Boolean> draining = Optional.empty();
  private boolean permitReleased;
  private boolean cancelled;

  EndpointAttempt(TrafficThread thread, CallerRequest request, Admitted admitted) {
    this.thread = thread;
    this.request = request;
    this.admitted = admitted;
    this.requestId = thread.nextRequestId();
  }

  /** Sends the request unless its permit or its deadline has expired. */
  Promise<AttemptResult> start() {
    if (!maySend()) {
      failNotRun(NotRunReason.PERMIT_EXPIRED, AttemptReport.Result.NEVER_SENT);
      return result;
    }
    Optional<EndpointConnection> acquired = pool().acquire(System.nanoTime());
    if (acquired.isEmpty()) {
      failNotRun(NotRunReason.ENDPOINT_UNREACHABLE, AttemptReport.Result.NEVER_SENT);
      return result;
    }
    connection = acquired.get();
    connection.send(buildRequest(), this::maySend).subscribe(this::onResponse);
    if (!result.isComplete()) {
      thread.silentConnectionDetector().watch(this);
      result.whenComplete(() -> thread.silentConnectionDetector().unwatch(this));
    }
    return result;
  }

  /** Cancels the attempt: closes its connection and asks the endpoint to cancel the request. */
  void cancel() {
    if (cancelled || permitReleased) {
      return;
    }
    closeAndCancel().whenResult(state -> releasePermit(state.permitUseResult()));
  }

  /** Cancels the attempt because its connection became silent. */
  void onConnectionSilent() {
    if (isAwaitingResponse()) {
      failMayHaveRun(UnknownOutcomeCause.CONNECTION_SILENT);
    }
  }

  /** Returns whether the request was sent, has no result yet and was not cancelled. */
  boolean isAwaitingResponse() {
    return !result.isComplete() && !cancelled && hasSentBytes();
  }

  /** Returns whether any byte was sent, so that the endpoint may have run the request. */
  boolean hasSentBytes() {
    return connection != null && connection.hasSentBytes();
  }

  EndpointConnection connection() {
    return connection;
  }

  EndpointConnectionPool pool() {
    return thread.poolFor(admitted.endpoint());
  }

  Endpoint endpoint() {
    return admitted.endpoint();
  }

  long startNanos() {
    return startNanos;
  }

  private boolean isIdempotent() {
    return request.call().idempotent();
  }

  private boolean maySend() {
    long nowNanos = System.nanoTime();
    long latestNanos =
        admitted.useDeadlineNanos() - request.deadlineNanos() < 0
            ? admitted.useDeadlineNanos()
            : request.deadlineNanos();
    long remainingMillis = TimeUnit.NANOSECONDS.toMillis(latestNanos - nowNanos);
    long endpointDeadlineMillis = remainingMillis - thread.limits().deadlineMarginMillis();
    deadline.set(endpointDeadlineMillis);
    return !cancelled && endpointDeadlineMillis > 0;
  }

  private HttpRequest buildRequest() {
    String url = "http://" + admitted.endpoint().address() + request.pathAndQuery();
    HttpRequest.Builder builder = HttpRequest.builder(request.method(), url);
    request.headers().addTo(builder);
    builder.withHeader(Headers.REQUEST_ID, HttpHeaderValue.of(requestId));
    builder.withHeader(Headers.DEADLINE_MILLIS, deadline.toHeaderValue());
    request.key().ifPresent(key -> builder.withHeader(Headers.IDEMPOTENCY_KEY, key));
    request.body().addTo(builder);
    return builder.build();
  }

  private void onResponse(HttpResponse response, Exception e) {
    if (cancelled) {
      return;
    }
    if (e != null) {
      onFailure(e);
      return;
    }
    if (!isForThisRequest(response)) {
      failMayHaveRun(UnknownOutcomeCause.ANSWER_MALFORMED);
      return;
    }
    readEndpointStatus(response);
    if (response.getCode() == REJECTION_STATUS && response.hasHeader(Headers.REFUSED)) {
      Streams.discard(response.takeBodyStream(), connection::close);
      failNotRun(NotRunReason.ENDPOINT_REFUSED, AttemptReport.Result.REFUSED);
      return;
    }
    if (!EndpointResponse.isSelfDelimiting(response)) {
      failMayHaveRun(UnknownOutcomeCause.ANSWER_MALFORMED);
      return;
    }
    readBody(response);
  }

  /**
   * Returns whether a response belongs to this request, and not to an earlier one on the connection
   * that a faulty endpoint wrote again. Without the id that says so, it must be the first response
   * on the connection, which then carries no other request.
   */
  private boolean isForThisRequest(HttpResponse response) {
    String echoedId = response.getHeader(Headers.REQUEST_ID);
    if (echoedId == null) {
      connection.closeAfterResponse();
      return connection.carriesFirstRequest();
    }
    return echoedId.equals(requestId);
  }

  private void readBody(HttpResponse response) {
    int status = response.getCode();
    HeaderFields headers = EndpointResponse.headersToForward(response);
    Body.read(
            response.takeBodyStream(),
            EndpointResponse.contentLength(response),
            thread.limits().maxBufferedBodyBytes())
        .subscribe(
            (body, e) -> {
              if (e != null) {
                onFailure(e);
                return;
              }
              onBody(status, headers, body);
            });
  }

  private void onBody(int status, HeaderFields headers, Body body) {
    switch (body) {
      case Body.Buffered buffered -> {
        releasePermit(AttemptReport.Result.ANSWERED);
        result.trySet(new AttemptResult.Responded(new EndpointResponse(status, headers, buffered)));
      }
      case Body.Streamed streamed -> {
        Body trackedBody = streamed.mapStream(PermitReleasingStream::new);
        result.trySet(
            new AttemptResult.Responded(new EndpointResponse(status, headers, trackedBody)));
      }
    }
  }

  private void onFailure(Exception e) {
    if (cancelled) {
      return;
    }
    if (!connection.hasSentBytes()) {
      boolean connected = connection.wasConnected();
      closeConnection();
      failNotRun(
          connected ? NotRunReason.PERMIT_EXPIRED : NotRunReason.ENDPOINT_UNREACHABLE,
          AttemptReport.Result.NEVER_SENT);
      return;
    }
    boolean malformed = e instanceof MalformedHttpException && !connection.wasClosedByPeer();
    failMayHaveRun(
        malformed ? UnknownOutcomeCause.ANSWER_MALFORMED : UnknownOutcomeCause.ANSWER_LOST);
  }

  private void failNotRun(NotRunReason reason, AttemptReport.Result useResult) {
    releasePermit(useResult);
    result.trySet(failed(new DidNotRun(reason)));
  }

  /**
   * Fails the attempt after the request was sent. The result of an idempotent request doesn't wait
   * for the cancel. That of any other request does, as the endpoint may confirm that it did not
   * run.
   */
  private void failMayHaveRun(UnknownOutcomeCause cause) {
    Promise<CancelState> cancelState = closeAndCancel();
    if (isIdempotent()) {
      result.trySet(failed(new MayHaveRun(cause)));
    }
    cancelState.whenResult(
        state -> {
          releasePermit(state.permitUseResult());
          result.trySet(failed(failureAfterCancel(cause, state)));
        });
  }

  private Promise<CancelState> closeAndCancel() {
    cancelled = true;
    boolean sent = hasSentBytes();
    closeConnection();
    return sent ? sendCancel() : Promise.of(CancelState.NEVER_SENT);
  }

  private void closeConnection() {
    if (connection != null) {
      connection.close();
    }
  }

  private Promise<CancelState> sendCancel() {
    return thread.controlClient().cancel(admitted.endpoint(), requestId);
  }

  private void releasePermit(AttemptReport.Result useResult) {
    if (permitReleased) {
      return;
    }
    permitReleased = true;
    long latencyNanos = System.nanoTime() - startNanos;
    thread
        .admission()
        .reportResult(
            admitted.attemptId(),
            new AttemptReport(useResult, latencyNanos, utilization, draining));
  }

  private void readEndpointStatus(HttpResponse response) {
    utilization = LoadHeader.parseUtilization(response.getHeader(Headers.LOAD));
    String drainingText = response.getHeader(Headers.DRAINING);
    draining = Optional.ofNullable(drainingText).map(Boolean::parseBoolean);
  }

  private static AttemptResult failed(AttemptFailure failure) {
    return new AttemptResult.Failed(failure);
  }

  private static AttemptFailure failureAfterCancel(UnknownOutcomeCause cause, CancelState state) {
    return state == CancelState.NOT_RUN
        ? new DidNotRun(NotRunReason.CANCELLED_BEFORE_RUN)
        : new MayHaveRun(cause);
  }

  /** The stream of a large response, which releases the permit at its end. */
  private final class PermitReleasingStream extends AbstractChannelSupplier<ByteBuf> {
    private final ChannelSupplier<ByteBuf> stream;

    PermitReleasingStream(ChannelSupplier<ByteBuf> stream) {
      super(stream);
      this.stream = stream;
    }

    @Override
    protected Promise<ByteBuf> doGet() {
      return stream
          .get()
          .whenResult(
              buf -> {
                if (buf == null) {
                  releasePermit(AttemptReport.Result.ANSWERED);
                }
              })
          .whenException(e -> cancel());
    }

    @Override
    protected void onClosed(Exception e) {
      cancel();
    }
  }
}
