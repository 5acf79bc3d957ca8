package org.mustardstage.entry.traffic;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.outcome.NotRunCause;
import org.mustardstage.core.outcome.Outcome;
import org.mustardstage.core.outcome.Outcome.NotRun;
import org.mustardstage.core.outcome.Outcome.OutcomeUnknown;
import org.mustardstage.core.outcome.Outcome.Responded;
import org.mustardstage.core.outcome.StoredResponse;
import org.mustardstage.core.outcome.UnknownOutcomeCause;

/** Builds the HTTP responses that are sent to callers. */
final class ResponseFactory {
  private static final int OK = 200;
  private static final String JSON = "application/json; charset=utf-8";

  private final String vm;

  ResponseFactory(String vm) {
    this.vm = vm;
  }

  /** Returns the response to a lookup. */
  HttpResponse lookup(byte[] json) {
    return HttpResponse.ofCode(OK)
        .withHeader(HttpHeaders.CONTENT_TYPE, JSON)
        .withHeader(Headers.VM, vm)
        .withBody(json)
        .build();
  }

  /** Returns the response to a request that was forwarded to endpoints. */
  HttpResponse fromOutcome(ExchangeOutcome outcome, CallerConnection connection) {
    return switch (outcome) {
      case ExchangeOutcome.Responded responded -> {
        Body body = trackCallerProgress(responded.response().body(), connection);
        EndpointResponse endpointResponse = responded.response();
        yield fromEndpoint(
            new EndpointResponse(endpointResponse.status(), endpointResponse.headers(), body),
            responded.endpoint());
      }
      case ExchangeOutcome.Failed failed -> failed(failed.outcome());
    };
  }

  /** Returns the response for a request that an endpoint responded to. */
  HttpResponse fromEndpoint(EndpointResponse endpointResponse, EndpointId endpoint) {
    HttpResponse.Builder response =
        responseBuilder(endpointResponse.status(), new Responded(endpointResponse.status()));
    response.withHeader(Headers.ENDPOINT, endpoint.value());
    endpointResponse.headers().addTo(response);
    endpointResponse.body().addTo(response);
    return response.build();
  }

  /** Returns the stored response to an earlier request with the same idempotency key. */
  HttpResponse replayed(StoredResponse storedResponse) {
    HttpResponse.Builder response =
        responseBuilder(storedResponse.status(), new Responded(storedResponse.status()));
    HeaderFields.of(storedResponse.headers()).addTo(response);
    new Body.Buffered(storedResponse.body().bytes()).addTo(response);
    return response.build();
  }

  /** Returns the response of another entry VM unchanged, as that VM has set all headers. */
  HttpResponse forwarded(EndpointResponse vmResponse) {
    HttpResponse.Builder response = HttpResponse.ofCode(vmResponse.status());
    vmResponse.headers().addTo(response);
    vmResponse.body().addTo(response);
    return response.build();
  }

  /** Returns the response to a request that was not run. */
  HttpResponse notRun(NotRunCause cause) {
    return failed(new NotRun(cause, 0));
  }

  /** Returns the response to a request for which no endpoint response is available. */
  HttpResponse failed(Outcome outcome) {
    return switch (outcome) {
      case NotRun notRun ->
          failureResponse(
              outcome, notRun.cause().status(), notRun.cause().code(), notRun.retryAfterMillis());
      case OutcomeUnknown unknown -> {
        UnknownOutcomeCause cause = unknown.cause();
        yield failureResponse(outcome, cause.status(), cause.code(), 0);
      }
      case Responded responded ->
          throw new IllegalArgumentException("not a failed outcome: " + responded);
    };
  }

  private static Body trackCallerProgress(Body body, CallerConnection connection) {
    return body instanceof Body.Streamed streamed
        ? streamed.mapStream(stream -> new ResponseBodyStream(stream, connection))
        : body;
  }

  private HttpResponse failureResponse(
      Outcome outcome, int status, String code, long retryAfterMillis) {
    HttpResponse.Builder response = responseBuilder(status, outcome);
    response.withHeader(Headers.ERROR, code);
    response.withHeader(HttpHeaders.CONTENT_TYPE, JSON);
    if (outcome instanceof NotRun) {
      response.withHeader(Headers.RETRY_AFTER_MILLIS, Long.toString(retryAfterMillis));
    }
    response.withBody(failureJson(outcome, code, retryAfterMillis));
    return response.build();
  }

  private HttpResponse.Builder responseBuilder(int status, Outcome outcome) {
    return HttpResponse.ofCode(status)
        .withHeader(Headers.OUTCOME, outcome.headerValue())
        .withHeader(Headers.VM, vm);
  }

  private static byte[] failureJson(Outcome outcome, String code, long retryAfterMillis) {
    String text =
        "{\"code\":\"%s\",\"outcome\":\"%s\",\"detail\":\"see docs/errors.md#%s\",\"retryAfterMillis\":%d}"
            .formatted(code, outcome.headerValue(), code, retryAfterMillis);
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
