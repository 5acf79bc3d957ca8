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
import org.mustardstage.core.outcome.AttemptEnd;
import org.mustardstage.core.outcome.AttemptEnd.DidNotRun;
import org.mustardstage.core.outcome.AttemptEnd.MayHaveRun;
import org.mustardstage.core.outcome.NotRunReason;
import org.mustardstage.core.outcome.UnknownCause;
import org.mustardstage.entry.control.AdmissionDecision.Admitted;
import org.mustardstage.entry.control.UseEnd;

/** One try at an endpoint, from its permit to the end of its answer. */
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

  /** Sends the request, when its permit still allows it. */
  Promise<AttemptResult> start() {
    if (!maySend()) {
      failNotRun(NotRunReason.PERMIT_EXPIRED, UseEnd.Result.NEVER_SENT);
      return result;
    }
    Optional<EndpointConnection> taken = pool().acquire(System.nanoTime());
    if (taken.isEmpty()) {
      failNotRun(NotRunReason.ENDPOINT_UNREACHABLE, UseEnd.Result.NEVER_SENT);
      return result;
    }
    connection = taken.get();
    connection.send(buildRequest(), this::maySend).subscribe(this::onResponse);
    if (!result.isComplete()) {
      thread.silentConnectionDetector().watch(this);
      result.whenComplete(() -> thread.silentConnectionDetector().unwatch(this));
    }
    return result;
  }

  /** Gives the try up: its connection is closed and the endpoint is asked to cancel. */
  void cancel() {
    if (cancelled || permitReleased) {
      return;
    }
    closeAndCancel().whenResult(state -> releasePermit(state.permitUseResult()));
  }

  /** Gives the try up because its connection went silent. */
  void onConnectionSilent() {
    if (isAwaitingResponse()) {
      failMayHaveRun(UnknownCause.CONNECTION_SILENT);
    }
  }

  /** Returns whether no answer has begun and the try was not given up. */
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
    long untilNanos =
        admitted.useUntilNanos() - request.deadlineNanos() < 0
            ? admitted.useUntilNanos()
            : request.deadlineNanos();
    long leftMillis = TimeUnit.NANOSECONDS.toMillis(untilNanos - nowNanos);
    long atEndpointMillis = leftMillis - thread.limits().deadlineMarginMillis();
    deadline.set(atEndpointMillis);
    return !cancelled && atEndpointMillis > 0;
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
    readEndpointStatus(response);
    if (response.getCode() == REJECTION_STATUS && response.hasHeader(Headers.REFUSED)) {
      Streams.discard(response.takeBodyStream(), connection::close);
      failNotRun(NotRunReason.ENDPOINT_REFUSED, UseEnd.Result.REFUSED);
      return;
    }
    if (!EndpointResponse.isSelfDelimiting(response)) {
      failMayHaveRun(UnknownCause.ANSWER_MALFORMED);
      return;
    }
    readBody(response);
  }

  private void readBody(HttpResponse response) {
    int status = response.getCode();
    HeaderFields headers = EndpointResponse.forwardedHeaders(response);
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
      case Body.Buffered held -> {
        releasePermit(UseEnd.Result.ANSWERED);
        result.trySet(new AttemptResult.Responded(new EndpointResponse(status, headers, held)));
      }
      case Body.Streamed streamed -> {
        Body watched = streamed.mapStream(PermitReleasingStream::new);
        result.trySet(new AttemptResult.Responded(new EndpointResponse(status, headers, watched)));
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
          UseEnd.Result.NEVER_SENT);
      return;
    }
    boolean malformed = e instanceof MalformedHttpException && !connection.wasClosedByPeer();
    failMayHaveRun(malformed ? UnknownCause.ANSWER_MALFORMED : UnknownCause.ANSWER_LOST);
  }

  private void failNotRun(NotRunReason reason, UseEnd.Result useEnd) {
    releasePermit(useEnd);
    result.trySet(failed(new DidNotRun(reason)));
  }

  private void failMayHaveRun(UnknownCause cause) {
    Promise<CancelState> cancelled = closeAndCancel();
    if (isIdempotent()) {
      result.trySet(failed(new MayHaveRun(cause)));
    }
    cancelled.whenResult(
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

  private void releasePermit(UseEnd.Result end) {
    if (permitReleased) {
      return;
    }
    permitReleased = true;
    long latencyNanos = System.nanoTime() - startNanos;
    thread.admission().end(admitted.useId(), new UseEnd(end, latencyNanos, utilization, draining));
  }

  private void readEndpointStatus(HttpResponse response) {
    utilization = LoadHeader.parseUtilization(response.getHeader(Headers.LOAD));
    String drainingText = response.getHeader(Headers.DRAINING);
    draining = Optional.ofNullable(drainingText).map(Boolean::parseBoolean);
  }

  private static AttemptResult failed(AttemptEnd end) {
    return new AttemptResult.Failed(end);
  }

  private static AttemptEnd failureAfterCancel(UnknownCause cause, CancelState state) {
    return state == CancelState.NOT_RUN
        ? new DidNotRun(NotRunReason.CANCELLED_BEFORE_RUN)
        : new MayHaveRun(cause);
  }

  /** The stream of a large answer; its end ends the use of the permit. */
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
                  releasePermit(UseEnd.Result.ANSWERED);
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
