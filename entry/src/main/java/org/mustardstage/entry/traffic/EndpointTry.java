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
import org.mustardstage.entry.control.UseEnd;

/** One try at an endpoint, from its permit to the end of its answer. */
final class EndpointTry {
  private static final int REFUSED_STATUS = 503;

  private final TrafficThread thread;
  private final CallerRequest request;
  private final Admitted admitted;
  private final String requestId;
  private final MillisHeaderValue deadline = new MillisHeaderValue();
  private final SettablePromise<TryResult> result = new SettablePromise<>();
  private final long startedNanos = System.nanoTime();
  private EndpointConnection connection;
  private OptionalDouble loadShare = OptionalDouble.empty();
  private Optional<Boolean> draining = Optional.empty();
  private boolean useEnded;
  private boolean givenUp;

  EndpointTry(TrafficThread thread, CallerRequest request, Admitted admitted) {
    this.thread = thread;
    this.request = request;
    this.admitted = admitted;
    this.requestId = thread.nextRequestId();
  }

  /** Sends the request, when its permit still allows it. */
  Promise<TryResult> start() {
    if (!maySend()) {
      didNotRun(NotRunReason.PERMIT_EXPIRED, UseEnd.Result.NEVER_SENT);
      return result;
    }
    Optional<EndpointConnection> taken = connections().take(System.nanoTime());
    if (taken.isEmpty()) {
      didNotRun(NotRunReason.ENDPOINT_UNREACHABLE, UseEnd.Result.NEVER_SENT);
      return result;
    }
    connection = taken.get();
    connection.send(buildRequest(), this::maySend).subscribe(this::onResponse);
    if (!result.isComplete()) {
      thread.silenceDetector().watch(this);
      result.whenComplete(() -> thread.silenceDetector().forget(this));
    }
    return result;
  }

  /** Gives the try up: its connection is closed and the endpoint is asked to cancel. */
  void abandon() {
    if (givenUp || useEnded) {
      return;
    }
    giveUp().whenResult(state -> endUse(state.useEnd()));
  }

  /** Gives the try up because its connection went silent. */
  void abandonSilent() {
    if (waitsForAnswer()) {
      mayHaveRun(UnknownOutcomeCause.CONNECTION_SILENT);
    }
  }

  /** Returns whether no answer has begun and the try was not given up. */
  boolean waitsForAnswer() {
    return !result.isComplete() && !givenUp && hasSentByte();
  }

  /** Returns whether any byte was sent, so that the endpoint may have run the request. */
  boolean hasSentByte() {
    return connection != null && connection.hasSentByte();
  }

  EndpointConnection connection() {
    return connection;
  }

  EndpointConnections connections() {
    return thread.connectionsTo(admitted.endpoint());
  }

  Endpoint endpoint() {
    return admitted.endpoint();
  }

  long startedNanos() {
    return startedNanos;
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
    return !givenUp && atEndpointMillis > 0;
  }

  private HttpRequest buildRequest() {
    String url = "http://" + admitted.endpoint().address() + request.pathAndQuery();
    HttpRequest.Builder builder = HttpRequest.builder(request.method(), url);
    request.headers().addTo(builder);
    builder.withHeader(Headers.REQUEST_ID, HttpHeaderValue.of(requestId));
    builder.withHeader(Headers.DEADLINE_MILLIS, deadline.toHttp());
    request.key().ifPresent(key -> builder.withHeader(Headers.IDEMPOTENCY_KEY, key));
    request.body().addTo(builder);
    return builder.build();
  }

  private void onResponse(HttpResponse response, Exception e) {
    if (givenUp) {
      return;
    }
    if (e != null) {
      onFailure(e);
      return;
    }
    readReports(response);
    if (response.getCode() == REFUSED_STATUS && response.hasHeader(Headers.REFUSED)) {
      Streams.discard(response.takeBodyStream(), connection::close);
      didNotRun(NotRunReason.ENDPOINT_REFUSED, UseEnd.Result.REFUSED);
      return;
    }
    if (!EndpointAnswer.hasStatedEnd(response)) {
      mayHaveRun(UnknownOutcomeCause.ANSWER_MALFORMED);
      return;
    }
    readAnswer(response);
  }

  private void readAnswer(HttpResponse response) {
    int status = response.getCode();
    HeaderLines headers = EndpointAnswer.passedOnHeaders(response);
    Body.read(
            response.takeBodyStream(),
            EndpointAnswer.statedBytes(response),
            thread.limits().heldBodyBytes())
        .subscribe(
            (body, e) -> {
              if (e != null) {
                onFailure(e);
                return;
              }
              onBody(status, headers, body);
            });
  }

  private void onBody(int status, HeaderLines headers, Body body) {
    switch (body) {
      case Body.Held held -> {
        endUse(UseEnd.Result.ANSWERED);
        result.trySet(new TryResult.Answer(new EndpointAnswer(status, headers, held)));
      }
      case Body.Streamed streamed -> {
        Body watched = streamed.map(WatchedStream::new);
        result.trySet(new TryResult.Answer(new EndpointAnswer(status, headers, watched)));
      }
    }
  }

  private void onFailure(Exception e) {
    if (givenUp) {
      return;
    }
    if (!connection.hasSentByte()) {
      boolean connected = connection.wasConnected();
      closeConnection();
      didNotRun(
          connected ? NotRunReason.PERMIT_EXPIRED : NotRunReason.ENDPOINT_UNREACHABLE,
          UseEnd.Result.NEVER_SENT);
      return;
    }
    boolean malformed = e instanceof MalformedHttpException && !connection.wasEndedByPeer();
    mayHaveRun(malformed ? UnknownOutcomeCause.ANSWER_MALFORMED : UnknownOutcomeCause.ANSWER_LOST);
  }

  private void didNotRun(NotRunReason reason, UseEnd.Result useEnd) {
    endUse(useEnd);
    result.trySet(noAnswer(new DidNotRun(reason)));
  }

  private void mayHaveRun(UnknownOutcomeCause cause) {
    Promise<CancelState> cancelled = giveUp();
    if (isIdempotent()) {
      result.trySet(noAnswer(new MayHaveRun(cause)));
    }
    cancelled.whenResult(
        state -> {
          endUse(state.useEnd());
          result.trySet(noAnswer(endAfterCancel(cause, state)));
        });
  }

  private Promise<CancelState> giveUp() {
    givenUp = true;
    boolean sent = hasSentByte();
    closeConnection();
    return sent ? cancel() : Promise.of(CancelState.NEVER_SENT);
  }

  private void closeConnection() {
    if (connection != null) {
      connection.close();
    }
  }

  private Promise<CancelState> cancel() {
    return thread.endpointClient().cancel(admitted.endpoint(), requestId);
  }

  private void endUse(UseEnd.Result end) {
    if (useEnded) {
      return;
    }
    useEnded = true;
    long latencyNanos = System.nanoTime() - startedNanos;
    thread.admission().end(admitted.useId(), new UseEnd(end, latencyNanos, loadShare, draining));
  }

  private void readReports(HttpResponse response) {
    loadShare = LoadReport.parseShare(response.getHeader(Headers.LOAD));
    String drainingText = response.getHeader(Headers.DRAINING);
    draining = Optional.ofNullable(drainingText).map(Boolean::parseBoolean);
  }

  private static TryResult noAnswer(AttemptFailure end) {
    return new TryResult.NoAnswer(end);
  }

  private static AttemptFailure endAfterCancel(UnknownOutcomeCause cause, CancelState state) {
    return state == CancelState.NOT_RUN
        ? new DidNotRun(NotRunReason.CANCELLED_BEFORE_RUN)
        : new MayHaveRun(cause);
  }

  /** The stream of a large answer; its end ends the use of the permit. */
  private final class WatchedStream extends AbstractChannelSupplier<ByteBuf> {
    private final ChannelSupplier<ByteBuf> stream;

    WatchedStream(ChannelSupplier<ByteBuf> stream) {
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
                  endUse(UseEnd.Result.ANSWERED);
                }
              })
          .whenException(e -> abandon());
    }

    @Override
    protected void onClosed(Exception e) {
      abandon();
    }
  }
}
