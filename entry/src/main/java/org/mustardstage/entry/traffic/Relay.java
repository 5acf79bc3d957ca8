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

/** Passes requests on to the entry VM that is home to their idempotency key. */
final class Relay {
  private final TrafficThread thread;

  Relay(TrafficThread thread) {
    this.thread = thread;
  }

  /** Passes a request on once. The promise never fails. */
  Promise<HttpResponse> passOn(
      CallerRequest request, HostAndPort home, CallerConnection callerConnection) {
    Optional<EndpointConnection> taken = thread.connectionsToVm(home).take(System.nanoTime());
    if (taken.isEmpty()) {
      return Promise.of(unknown(UnknownOutcomeCause.KEY_HOME_GONE));
    }
    EndpointConnection connection = taken.get();
    SettablePromise<HttpResponse> result = new SettablePromise<>();
    long leftMillis = TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - System.nanoTime());
    ScheduledRunnable timer =
        thread
            .reactor()
            .delay(
                Math.max(0, leftMillis),
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
        .send(build(request, home, deadline), () -> setDeadline(deadline, request))
        .then(this::readAnswer)
        .subscribe(
            (answer, e) -> {
              boolean streamed = e == null && answer.body() instanceof Body.Streamed;
              if (!streamed) {
                timer.cancel();
              }
              if (e != null) {
                connection.close();
                result.trySet(unknown(UnknownOutcomeCause.KEY_HOME_GONE));
                return;
              }
              result.trySet(thread.answers().relayed(answer));
            });
    return result;
  }

  private Promise<EndpointAnswer> readAnswer(HttpResponse response) {
    if (!EndpointAnswer.hasStatedEnd(response)) {
      return Promise.ofException(new UnstatedEndException());
    }
    int status = response.getCode();
    HeaderLines headers = EndpointAnswer.passedOnHeaders(response);
    return Body.read(
            response.takeBodyStream(),
            EndpointAnswer.statedBytes(response),
            thread.limits().heldBodyBytes())
        .map(body -> new EndpointAnswer(status, headers, body));
  }

  private HttpRequest build(CallerRequest request, HostAndPort home, MillisHeaderValue deadline) {
    HttpRequest.Builder builder =
        HttpRequest.builder(request.method(), "http://" + home + request.pathAndQuery());
    request.headers().addTo(builder);
    request.body().addTo(builder);
    request.key().ifPresent(key -> builder.withHeader(Headers.IDEMPOTENCY_KEY, key));
    return builder
        .withHeader(Headers.SERVICE, request.service().value())
        .withHeader(Headers.DEADLINE_MILLIS, deadline.toHttp())
        .withHeader(Headers.PASSED_ON_BY, HttpHeaderValue.of(thread.snapshot().self().vm().value()))
        .build();
  }

  private boolean setDeadline(MillisHeaderValue deadline, CallerRequest request) {
    long leftNanos = request.deadlineNanos() - System.nanoTime();
    long leftMillis =
        TimeUnit.NANOSECONDS.toMillis(leftNanos) - thread.limits().deadlineMarginMillis();
    deadline.set(leftMillis);
    return leftMillis > 0;
  }

  private HttpResponse unknown(UnknownOutcomeCause cause) {
    return thread.answers().failed(new OutcomeUnknown(cause));
  }

  /** The answer has no stated end. */
  private static final class UnstatedEndException extends Exception {
    private static final long serialVersionUID = 1L;

    UnstatedEndException() {
      super("no stated end", null, false, false);
    }
  }
}
