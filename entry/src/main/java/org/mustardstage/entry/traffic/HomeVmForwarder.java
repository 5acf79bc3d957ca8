package org.mustardstage.entry.traffic;

import io.activej.http.HttpHeaderValue;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.outcome.Outcome.OutcomeUnknown;
import org.mustardstage.core.outcome.UnknownOutcomeCause;

/** Forwards requests to the home VM of their idempotency key. */
final class HomeVmForwarder {
  private final TrafficThread thread;

  HomeVmForwarder(TrafficThread thread) {
    this.thread = thread;
  }

  /** Forwards a request, without retries. The promise never fails. */
  Promise<HttpResponse> forward(
      CallerRequest request, HostAndPort home, CallerConnection callerConnection) {
    Optional<EndpointConnection> acquired = thread.poolForVm(home).acquire(System.nanoTime());
    if (acquired.isEmpty()) {
      return Promise.of(unknown(UnknownOutcomeCause.KEY_HOME_GONE));
    }
    EndpointConnection connection = acquired.get();
    SettablePromise<HttpResponse> result = new SettablePromise<>();
    long remainingMillis =
        TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - System.nanoTime());
    ScheduledRunnable timer =
        thread
            .reactor()
            .delay(
                Math.max(0, remainingMillis),
                () -> {
                  result.trySet(unknown(UnknownOutcomeCause.DEADLINE_PASSED_IN_FLIGHT));
                  connection.close();
                });
    callerConnection.setDisconnectHandler(
        () -> {
          result.trySet(unknown(UnknownOutcomeCause.KEY_HOME_GONE));
          connection.close();
        });
    MillisHeaderValue deadline = new MillisHeaderValue();
    connection
        .send(buildRequest(request, home, deadline), () -> setDeadline(deadline, request))
        .then(this::readResponse)
        .subscribe(
            (response, e) -> {
              boolean streamed = e == null && response.body() instanceof Body.Streamed;
              if (!streamed) {
                timer.cancel();
              }
              if (e != null) {
                connection.close();
                result.trySet(unknown(UnknownOutcomeCause.KEY_HOME_GONE));
                return;
              }
              result.trySet(thread.responses().forwarded(response));
            });
    return result;
  }

  private Promise<EndpointResponse> readResponse(HttpResponse response) {
    if (!EndpointResponse.isSelfDelimiting(response)) {
      return Promise.ofException(new UndelimitedBodyException());
    }
    int status = response.getCode();
    HeaderFields headers = EndpointResponse.headersToForward(response);
    return Body.read(
            response.takeBodyStream(),
            EndpointResponse.contentLength(response),
            thread.limits().maxBufferedBodyBytes())
        .map(body -> new EndpointResponse(status, headers, body));
  }

  private HttpRequest buildRequest(
      CallerRequest request, HostAndPort home, MillisHeaderValue deadline) {
    HttpRequest.Builder builder =
        HttpRequest.builder(request.method(), "http://" + home + request.pathAndQuery());
    request.headers().addTo(builder);
    request.body().addTo(builder);
    request.key().ifPresent(key -> builder.withHeader(Headers.IDEMPOTENCY_KEY, key));
    return builder
        .withHeader(Headers.SERVICE, request.service().value())
        .withHeader(Headers.DEADLINE_MILLIS, deadline.toHeaderValue())
        .withHeader(Headers.PASSED_ON_BY, HttpHeaderValue.of(thread.snapshot().self().vm().value()))
        .build();
  }

  private boolean setDeadline(MillisHeaderValue deadline, CallerRequest request) {
    long remainingNanos = request.deadlineNanos() - System.nanoTime();
    long remainingMillis =
        TimeUnit.NANOSECONDS.toMillis(remainingNanos) - thread.limits().deadlineMarginMillis();
    deadline.set(remainingMillis);
    return remainingMillis > 0;
  }

  private HttpResponse unknown(UnknownOutcomeCause cause) {
    return thread.responses().failed(new OutcomeUnknown(cause));
  }

  /** Thrown when a response does not define the end of its body. */
  private static final class UndelimitedBodyException extends Exception {
    private static final long serialVersionUID = 1L;

    UndelimitedBodyException() {
      super(
          "response has neither one Content-Length header nor chunked encoding",
          null,
          false,
          false);
    }
  }
}
